package core

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"lilaclead/internal/wire"
)

func TestAttemptLogTellsEachStepOnce(t *testing.T) {
	var out bytes.Buffer
	attempts := AttemptLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	task := wire.TaskID{Job: "req-000001", Index: 2}
	attempts.Launched(task, 3, "n-000076", 1, LaunchedDirectly)
	attempts.Launched(task, 6, "n-000071", 2, LaunchedByHeartbeatResponse)
	attempts.OutcomeStored(task, 3, "n-000076", "error")
	attempts.ForgetOrdered("req-000001/2", 3, "n-000076", "outcome stored")
	attempts.Flush(366)
	attempts.Flush(367)
	for _, want := range []string{
		`msg="attempts launched" token=366 attempts="req-000001/2@3 to n-000076 epoch 1 by direct; req-000001/2@6 to n-000071 epoch 2 by heartbeat response" omitted=0`,
		`msg="outcomes stored" token=366 attempts="req-000001/2@3 on n-000076: error" omitted=0`,
		`msg="attempts to be forgotten" token=366 attempts="req-000001/2@3 on n-000076: outcome stored" omitted=0`,
	} {
		if strings.Count(out.String(), want) != 1 {
			t.Errorf("log: got\n%s\nwant one line with %s", out.String(), want)
		}
	}
	if got := strings.Count(out.String(), "\n"); got != 3 {
		t.Errorf("log: got %d lines, want 3", got)
	}
}

func TestAttemptLogIsBounded(t *testing.T) {
	var out bytes.Buffer
	attempts := AttemptLog{log: slog.New(slog.NewTextHandler(&out, nil))}
	const forgotten = 3 * maxAttemptsPerLogLine
	for i := range forgotten {
		attempts.ForgetOrdered(fmt.Sprintf("req-000001/%d", i), 1, "n-000001", "outcome stored")
	}
	attempts.Flush(1)
	if got := strings.Count(out.String(), "req-000001/"); got != maxAttemptsPerLogLine {
		t.Errorf("attempts named: got %d, want %d", got, maxAttemptsPerLogLine)
	}
	if want := fmt.Sprintf("omitted=%d", forgotten-maxAttemptsPerLogLine); !strings.Contains(out.String(), want) {
		t.Errorf("log: got %d bytes without %s", out.Len(), want)
	}
}
