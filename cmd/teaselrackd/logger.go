package main

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/teaselrack/teaselrack/internal/fault"
	"github.com/teaselrack/teaselrack/internal/process/settings"
)

// newLogger returns a logger to standard error.
func newLogger(o settings.Log) (*zap.Logger, error) {
	level, err := zapcore.ParseLevel(o.Level)
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "parse log.level %q", o.Level)
	}
	config := zap.NewProductionConfig()
	config.Encoding = o.Format
	config.Level = zap.NewAtomicLevelAt(level)
	config.EncoderConfig.EncodeTime = zapcore.ISO8601TimeEncoder
	config.DisableStacktrace = true
	log, err := config.Build()
	if err != nil {
		return nil, fault.Wrap(fault.SettingsInvalid, err, "create the logger")
	}
	return log, nil
}
