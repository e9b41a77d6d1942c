package lilaclead

import (
	"log/slog"
	"testing"

	"lilaclead/internal/tuning"
)

func TestParseLogLevel(t *testing.T) {
	for name, want := range map[string]slog.Level{
		"debug":   slog.LevelDebug,
		"DEBUG":   slog.LevelDebug,
		"error":   slog.LevelError,
		"info":    slog.LevelInfo,
		"":        slog.LevelInfo,
		"unknown": slog.LevelInfo,
	} {
		if got := ParseLogLevel(name); got != want {
			t.Errorf("ParseLogLevel(%q) = %v, want %v", name, got, want)
		}
	}
}

func TestOperatorsLogLevelOverridesEnvironment(t *testing.T) {
	t.Setenv(logLevelVariable, "error")
	level := newLogLevel()
	for _, step := range []struct {
		situation string
		operators string
		want      slog.Level
	}{
		{"operators set a level", "debug", slog.LevelDebug},
		{"operators removed their level", "", slog.LevelError},
	} {
		level.applyTuning(tuning.Values{LogLevel: step.operators})
		if got := level.current.Level(); got != step.want {
			t.Errorf("%s (%q): level %v, want %v", step.situation, step.operators, got, step.want)
		}
	}
}
