package lilaclead

import (
	"io"
	"log"
	"log/slog"
	"os"
	"strings"

	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
)

// logLevelVariable is the environment variable with the log level that holds unless the
// operators' settings give another.
const logLevelVariable = "LOG_LEVEL"

// ParseLogLevel returns the log level of a name; info if the name is unknown or empty.
func ParseLogLevel(name string) slog.Level {
	switch strings.ToLower(name) {
	case "debug":
		return slog.LevelDebug
	case "error":
		return slog.LevelError
	default:
		return slog.LevelInfo
	}
}

// logLevel is the level of a node's log, which operators can change.
type logLevel struct {
	current *slog.LevelVar
	initial slog.Level
}

// newLogLevel returns the level that the environment gives.
func newLogLevel() logLevel {
	level := logLevel{current: &slog.LevelVar{}, initial: ParseLogLevel(os.Getenv(logLevelVariable))}
	level.current.Set(level.initial)
	return level
}

// applyTuning takes over the level of the operators' settings; without one the initial
// level holds.
func (l logLevel) applyTuning(values tuning.Values) {
	l.current.Set(l.initial)
	if values.LogLevel != "" {
		l.current.Set(ParseLogLevel(values.LogLevel))
	}
}

// newLogger returns the log of a node.
func newLogger(out io.Writer, level logLevel, node wire.NodeID) *slog.Logger {
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level.current})
	return slog.New(handler).With("node", node)
}

// serverErrorLog returns a log at debug level for an HTTP server's own errors, which
// misbehaving clients cause.
func serverErrorLog(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}
