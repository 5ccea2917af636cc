package event

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger gives a logger that writes one JSON object a line to w, at level
// ("debug", "info", "warn" or "error") and above. Nothing is sampled: each
// routing decision has its line.
func NewLogger(w zapcore.WriteSyncer, level, node, dataCentre string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		MessageKey:     "Name",
		StacktraceKey:  zapcore.OmitKey,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	})
	core := zapcore.NewCore(encoder, zapcore.Lock(w), l)
	return zap.New(core).With(zap.String("Node", node), zap.String("DataCentre", dataCentre)), nil
}
