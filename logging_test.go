package lilaclead

import (
	"log/slog"
	"testing"

	"lilaclead/internal/tuning"
)

func TestLevelOfName(t *testing.T) {
	for name, want := range map[string]slog.Level{
		"debug":   slog.LevelDebug,
		"DEBUG":   slog.LevelDebug,
		"error":   slog.LevelError,
		"info":    slog.LevelInfo,
		"":        slog.LevelInfo,
		"unknown": slog.LevelInfo,
	} {
		if got := ParseLogLevel(name); got != want {
			t.Errorf("Level(%q) = %v, want %v", name, got, want)
		}
	}
}

func TestOperatorsLogLevelReplacesEnvironments(t *testing.T) {
	t.Setenv(logLevelVariable, "error")
	level := newLogLevel()
	for _, step := range []struct {
		situation string
		tuned     string
		want      slog.Level
	}{
		{"operators chose a level", "debug", slog.LevelDebug},
		{"operators took it back", "", slog.LevelError},
	} {
		level.applyTuning(tuning.Values{LogLevel: step.tuned})
		if got := level.current.Level(); got != step.want {
			t.Errorf("%s (%q): level %v, want %v", step.situation, step.tuned, got, step.want)
		}
	}
}
