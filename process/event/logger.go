package event

import (
	"fmt"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewLogger returns a logger that writes one JSON object per line to w, at the
// given level ("debug", "info", "warn" or "error") and above. Lines are not
// sampled: each routing decision has its line.
func NewLogger(w zapcore.WriteSyncer, level, node, dataCentre string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return withNodeFields(zapcore.NewCore(newEncoder(), zapcore.Lock(w), l), node, dataCentre), nil
}

// NewQueuedLogger is like NewLogger, but its lines go through a queue, so that
// a request never waits for the reader of the log.
func NewQueuedLogger(q *Queue, level, node, dataCentre string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, fmt.Errorf("logger: %w", err)
	}
	return withNodeFields(&queueCore{LevelEnabler: l, encoder: newEncoder(), queue: q}, node, dataCentre), nil
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

func withNodeFields(c zapcore.Core, node, dataCentre string) *zap.Logger {
	return zap.New(c).With(zap.String("Node", node), zap.String("DataCentre", dataCentre))
}
