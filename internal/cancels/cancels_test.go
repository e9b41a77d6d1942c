package cancels

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lilaclead/internal/wire"
)

func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

// Nodes that confirm cancellations, read the state service or are refused by
// it, tell each other over streams whose answers come late or never, end, and
// are back with nothing. The plain model is the list of all that was ever
// confirmed: all before a node's watermark it knows.
func TestWatermarkIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { checkWatermarks(rt) })
	})
}

const modelCancel = 20 * time.Second

type confirmation struct {
	job wire.JobID
	at  time.Time
}

func checkWatermarks(t *rapid.T) {
	names := []wire.NodeID{"a", "b", "c"}
	fresh := func(i int) *Log {
		var others []wire.NodeID
		for k, n := range names {
			if k != i {
				others = append(others, n)
			}
		}
		return New(others, modelCancel)
	}
	type answer struct {
		sent   time.Time
		update Update
	}
	var logs [3]*Log
	var cursors [3][3]uint64     // by sender, then receiver
	var pending [3][3][]answer   // on their way on the stream that is open
	var confirmed []confirmation // by anyone, in order
	for i := range logs {
		logs[i] = fresh(i)
	}
	breakStreams := func(i int) {
		for k := range logs {
			cursors[i][k], cursors[k][i] = 0, 0
			pending[i][k], pending[k][i] = nil, nil
		}
	}
	for step := range rapid.IntRange(10, 120).Draw(t, "steps") {
		i := rapid.IntRange(0, 2).Draw(t, "node")
		k := (i + rapid.IntRange(1, 2).Draw(t, "other")) % 3
		switch rapid.IntRange(0, 9).Draw(t, "what") {
		case 0, 1:
			id := wire.JobID(fmt.Sprintf("req-%d", step))
			logs[i].Add(id, 0)
			confirmed = append(confirmed, confirmation{id, time.Now()})
		case 2:
			// A read takes a while, and tells what was stored when it began.
			began := time.Now()
			stored := confirmed
			time.Sleep(time.Duration(rapid.IntRange(0, 900).Draw(t, "read")) * time.Millisecond)
			for _, c := range stored {
				logs[i].Add(c.job, time.Since(c.at))
			}
			logs[i].RecordRead(began)
		case 3, 4, 5:
			// k asks i, whose answer is made after a moment.
			sent := time.Now()
			time.Sleep(time.Duration(rapid.IntRange(0, 200).Draw(t, "ask")) * time.Millisecond)
			var u Update
			u, cursors[i][k] = logs[i].UpdateSince(cursors[i][k])
			pending[i][k] = append(pending[i][k], answer{sent, u})
		case 6, 7:
			for _, a := range pending[i][k] {
				logs[k].Apply(names[i], a.sent, &a.update)
			}
			pending[i][k] = nil
		case 8:
			if rapid.IntRange(0, 3).Draw(t, "ends") == 0 {
				logs[i] = fresh(i)
			}
			breakStreams(i) // or its links only
		case 9:
			time.Sleep(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
		}
		for n, l := range logs {
			until := l.Watermark()
			if until.After(time.Now()) {
				t.Fatalf("%s knows the future", names[n])
			}
			for _, c := range confirmed {
				_, ok := l.ConfirmedAt(c.job)
				if c.at.Before(until) && !ok && time.Since(c.at) < l.retention {
					t.Fatalf("%s says it knows all until %v ago, but not %s of %v ago", names[n], time.Since(until), c.job, time.Since(c.at))
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
}

// In an outage the updates of all other nodes raise the watermark; with one that
// is silent, or back with nothing, it stays at its last update.
func TestUpdatesOfAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := New([]wire.NodeID{"b", "c"}, modelCancel), New([]wire.NodeID{"a", "c"}, modelCancel), New([]wire.NodeID{"a", "b"}, modelCancel)
		time.Sleep(time.Second)
		a.RecordRead(time.Now())
		var fromB, fromC uint64
		update := func(from wire.NodeID, l *Log, cursor *uint64) {
			var u Update
			u, *cursor = l.UpdateSince(*cursor)
			a.Apply(from, time.Now(), &u)
		}
		for range 30 {
			time.Sleep(time.Second)
			b.Add(wire.JobID(fmt.Sprint("req-", time.Now().Unix())), 0)
			update("b", b, &fromB)
			update("c", c, &fromC)
		}
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("with the updates of all others the watermark is %v ago", ago)
		}
		last := time.Now()
		c, fromC = New([]wire.NodeID{"a", "b"}, modelCancel), 0
		for range 10 {
			time.Sleep(time.Second)
			update("b", b, &fromB)
			update("c", c, &fromC)
		}
		if at := a.Watermark(); !at.Equal(last) {
			t.Errorf("a node that is back with nothing raises the watermark to %v after its former process's last update", at.Sub(last))
		}
		a.RecordRead(time.Now())
		time.Sleep(time.Second)
		update("b", b, &fromB)
		update("c", c, &fromC)
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("after a read the watermark is %v ago", ago)
		}
	})
}

// What is kept is bounded; a node that had to drop some states a shorter span.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New([]wire.NodeID{"b"}, modelCancel)
		l.RecordRead(time.Now())
		for n := range maxRecords + 100 {
			l.Add(wire.JobID(fmt.Sprint("req-", n)), 0)
			time.Sleep(time.Millisecond / 10)
		}
		if len(l.records) > maxRecords || len(l.confirmedAt) != len(l.records) {
			t.Errorf("%d and %d are kept", len(l.records), len(l.confirmedAt))
		}
		u, cursor := l.UpdateSince(0)
		if u.OwnSpan != 0 || len(u.Cancelled) != maxUpdateEntries {
			t.Errorf("the first update of many has %d entries and a span of %v", len(u.Cancelled), u.OwnSpan)
		}
		for u.OwnSpan == 0 {
			u, cursor = l.UpdateSince(cursor)
		}
		if u.OwnSpan >= time.Since(l.records[0].addedAt)+time.Millisecond {
			t.Errorf("states a span of %v, but the log begins %v ago", u.OwnSpan, time.Since(l.records[0].addedAt))
		}
		time.Sleep(3 * modelCancel)
		l.Add("req-x", 0)
		if len(l.records) != 1 {
			t.Errorf("%d are kept for ever", len(l.records))
		}
	})
}
