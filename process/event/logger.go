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
	return named(zapcore.NewCore(newEncoder(), zapcore.Lock(w), l), node, dataCentre), nil
}

// NewQueuedLogger is NewLogger for lines that wait in a queue, so that a
// request never waits for the reader of the log.
func NewQueuedLogger(q *Queue, level, node, dataCentre string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return named(&core{LevelEnabler: l, encoder: newEncoder(), queue: q}, node, dataCentre), nil
}

func newEncoder() zapcore.Encoder {
	return zapcore.NewJSONEncoder(zapcore.EncoderConfig{
		TimeKey:        "Time",
		LevelKey:       "Level",
		MessageKey:     "Name",
		StacktraceKey:  zapcore.OmitKey,
		EncodeTime:     zapcore.RFC3339NanoTimeEncoder,
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeDuration: zapcore.SecondsDurationEncoder,
	})
}

func named(c zapcore.Core, node, dataCentre string) *zap.Logger {
	return zap.New(c).With(zap.String("Node", node), zap.String("DataCentre", dataCentre))
}
