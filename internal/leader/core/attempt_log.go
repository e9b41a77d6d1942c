package core

import (
	"fmt"
	"log/slog"
	"strings"

	"lilaclead/internal/wire"
)

// maxAttemptsPerLogLine limits the attempts that one line of the log names. Of each kind, one
// line is written per tick at most; it says how many attempts it omits.
const maxAttemptsPerLogLine = 500

// LaunchPath says which message carried a launch to an agent. Its values are part of the log.
type LaunchPath string

// The paths.
const (
	LaunchedDirectly            LaunchPath = "direct"
	LaunchedByHeartbeatResponse LaunchPath = "heartbeat response"
)

// AttemptLog logs the steps of each attempt that decide whether it may run: its launch, the
// storage of its outcome, and the order to forget it. The steps of one kind since the last Flush
// share a line, so that the number of lines does not grow with the number of attempts. Only the
// goroutine of the term's loop may use it.
type AttemptLog struct {
	log       *slog.Logger
	launched  attemptLine
	stored    attemptLine
	forgotten attemptLine
}

// Launched records that a launch of an attempt was sent to an agent.
func (l *AttemptLog) Launched(task wire.TaskID, attempt wire.AttemptNumber, machine wire.MachineID, epoch wire.AgentEpoch, path LaunchPath) {
	l.launched.add("%s@%d to %s epoch %d by %s", task, attempt, machine, epoch, path)
}

// OutcomeStored records that the outcome of an attempt is in the key-value store.
func (l *AttemptLog) OutcomeStored(task wire.TaskID, attempt wire.AttemptNumber, machine wire.MachineID, outcome string) {
	l.stored.add("%s@%d on %s: %s", task, attempt, machine, outcome)
}

// ForgetOrdered records that an agent was told to forget an attempt, and on which ground.
func (l *AttemptLog) ForgetOrdered(task string, attempt wire.AttemptNumber, machine wire.MachineID, ground string) {
	l.forgotten.add("%s@%d on %s: %s", task, attempt, machine, ground)
}

// Flush writes the lines of the steps since the last call. The token is the one under which the
// term took these steps.
func (l *AttemptLog) Flush(token wire.FencingToken) {
	l.launched.flush(l.log, "attempts launched", token)
	l.stored.flush(l.log, "outcomes stored", token)
	l.forgotten.flush(l.log, "attempts to be forgotten", token)
}

// attemptLine is a line of the log that names attempts.
type attemptLine struct {
	attempts []string
	omitted  int
}

func (l *attemptLine) add(format string, args ...any) {
	if len(l.attempts) == maxAttemptsPerLogLine {
		l.omitted++
		return
	}
	l.attempts = append(l.attempts, fmt.Sprintf(format, args...))
}

// flush writes the line, unless it names no attempt, and empties it.
func (l *attemptLine) flush(log *slog.Logger, message string, token wire.FencingToken) {
	if len(l.attempts) == 0 {
		return
	}
	log.Info(message, "token", token, "attempts", strings.Join(l.attempts, "; "), "omitted", l.omitted)
	*l = attemptLine{}
}
