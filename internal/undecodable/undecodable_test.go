package undecodable

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
)

var errDecoding = errors.New("unexpected EOF")

// newTestLog returns a Log with the buffer that it writes to.
func newTestLog() (*Log, *bytes.Buffer) {
	var out bytes.Buffer
	return New(slog.New(slog.NewTextHandler(&out, nil))), &out
}

func TestLogOnceLogsEachSourceOnce(t *testing.T) {
	log, out := newTestLog()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			log.LogOnce("job/req-1", errDecoding)
			log.LogOnce("a heartbeat from 10.0.0.2", errDecoding)
		})
	}
	callers.Wait()
	for _, want := range []string{
		`level=ERROR msg="undecodable input rejected" source=job/req-1 err="unexpected EOF"`,
		`level=ERROR msg="undecodable input rejected" source="a heartbeat from 10.0.0.2" err="unexpected EOF"`,
	} {
		if got := strings.Count(out.String(), want); got != 1 {
			t.Errorf("got %d lines %s, want 1, in log:\n%s", got, want, out)
		}
	}
}

func TestLogOnceStopsAtMaxSources(t *testing.T) {
	log, out := newTestLog()
	for n := range maxSources + 10 {
		log.LogOnce(fmt.Sprint("job/req-", n), errDecoding)
	}
	if got := strings.Count(out.String(), "\n"); got != maxSources {
		t.Errorf("got %d log lines, want %d", got, maxSources)
	}
}

func TestNilLogLogsNothing(*testing.T) {
	var log *Log
	log.LogOnce("job/req-1", errDecoding)
}

func TestSenderIsHostWithoutPort(t *testing.T) {
	cases := []struct{ name, remoteAddr, want string }{
		{"IPv4", "10.0.0.2:4711", "10.0.0.2"},
		{"IPv6", "[::1]:4711", "::1"},
		{"without port", "10.0.0.2", "10.0.0.2"},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			if got := Sender(&http.Request{RemoteAddr: tc.remoteAddr}); got != tc.want {
				t.Errorf("sender of a request from %s: got %q, want %q", tc.remoteAddr, got, tc.want)
			}
		})
	}
}
