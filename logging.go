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

// logLevelVariable is the environment variable that gives the log level, unless the operators'
// settings give another.
const logLevelVariable = "LOG_LEVEL"

// ParseLogLevel returns the log level of a name in any case; info if the name is unknown or
// empty.
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

// logLevel is the level of a node's log, which operators can change while the node runs.
type logLevel struct {
	current *slog.LevelVar
	initial slog.Level // from the environment
}

// newLogLevel returns the level that the environment variable gives.
func newLogLevel() logLevel {
	level := logLevel{current: &slog.LevelVar{}, initial: ParseLogLevel(os.Getenv(logLevelVariable))}
	level.current.Set(level.initial)
	return level
}

// applyTuning sets the level to that of the operators' settings, or to the initial level if
// they give none.
func (l logLevel) applyTuning(values tuning.Values) {
	l.current.Set(l.initial)
	if values.LogLevel != "" {
		l.current.Set(ParseLogLevel(values.LogLevel))
	}
}

// newLogger returns a logger whose records name the node.
func newLogger(out io.Writer, level logLevel, node wire.NodeID) *slog.Logger {
	handler := slog.NewTextHandler(out, &slog.HandlerOptions{Level: level.current})
	return slog.New(handler).With("node", node)
}

// serverErrorLog returns a logger for an HTTP server's own errors. It logs them at debug
// level, since misbehaving clients cause them.
func serverErrorLog(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}
