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

// A fixed seed makes every run check the same cases.
func init() { flag.Set("rapid.seed", "20261202") } //nolint:errcheck // rapid defines the flag

const modelCancelTime = 20 * time.Second

// A node must know every cancellation that was confirmed before its watermark. The model is
// the list of all cancellations ever confirmed. The nodes confirm cancellations, read the
// key-value store, exchange updates over streams whose responses come late or never, and
// restart with empty logs.
func TestWatermarkIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := newModel()
			for step := range rapid.IntRange(10, 120).Draw(rt, "steps") {
				m.performAction(rt, step)
				m.checkWatermarks(rt)
				time.Sleep(time.Millisecond)
			}
		})
	})
}

const modelNodes = 3

// model is a deployment of three nodes, with every cancellation that they ever confirmed.
type model struct {
	names     [modelNodes]wire.NodeID
	logs      [modelNodes]*Log
	cursors   [modelNodes][modelNodes]uint64     // by sender, then receiver
	pending   [modelNodes][modelNodes][]response // not received yet, by sender, then receiver
	confirmed []confirmation                     // by any node, in order
}

// response is an update on its way to the node that asked for it.
type response struct {
	sentAt time.Time // when the request was sent
	update Update
}

type confirmation struct {
	job wire.JobID
	at  time.Time
}

func newModel() *model {
	m := &model{names: [modelNodes]wire.NodeID{"a", "b", "c"}}
	for node := range m.logs {
		m.restart(node)
	}
	return m
}

// restart gives a node an empty log.
func (m *model) restart(node int) {
	var peers []wire.NodeID
	for other, name := range m.names {
		if other != node {
			peers = append(peers, name)
		}
	}
	m.logs[node] = New(peers, modelCancelTime)
}

// performAction lets one node perform one random action.
func (m *model) performAction(t *rapid.T, step int) {
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	peer := (node + rapid.IntRange(1, modelNodes-1).Draw(t, "peer")) % modelNodes
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		m.confirm(node, step)
	case 2:
		m.read(t, node)
	case 3, 4, 5:
		m.requestUpdate(t, node, peer)
	case 6, 7:
		m.receive(node, peer)
	case 8:
		if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
			m.restart(node)
		}
		m.breakStreams(node) // also without a restart, as if only its links failed
	case 9:
		time.Sleep(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
	}
}

func (m *model) confirm(node, step int) {
	job := wire.JobID(fmt.Sprintf("req-%d", step))
	m.logs[node].Add(job, 0)
	m.confirmed = append(m.confirmed, confirmation{job, time.Now()})
}

// read lets a node read the key-value store. The read takes a while and returns what was
// stored when it began.
func (m *model) read(t *rapid.T, node int) {
	began := time.Now()
	stored := m.confirmed
	time.Sleep(time.Duration(rapid.IntRange(0, 900).Draw(t, "read")) * time.Millisecond)
	for _, c := range stored {
		m.logs[node].Add(c.job, time.Since(c.at))
	}
	m.logs[node].RecordRead(began)
}

// requestUpdate lets the peer send a request to the node, which creates its response after
// a delay.
func (m *model) requestUpdate(t *rapid.T, node, peer int) {
	sentAt := time.Now()
	time.Sleep(time.Duration(rapid.IntRange(0, 200).Draw(t, "ask")) * time.Millisecond)
	var update Update
	update, m.cursors[node][peer] = m.logs[node].UpdateSince(m.cursors[node][peer])
	m.pending[node][peer] = append(m.pending[node][peer], response{sentAt, update})
}

// receive lets the peer receive all pending responses of the node.
func (m *model) receive(node, peer int) {
	for _, r := range m.pending[node][peer] {
		m.logs[peer].MergeUpdate(m.names[node], r.sentAt, &r.update)
	}
	m.pending[node][peer] = nil
}

func (m *model) breakStreams(node int) {
	for other := range m.logs {
		m.cursors[node][other], m.cursors[other][node] = 0, 0
		m.pending[node][other], m.pending[other][node] = nil, nil
	}
}

// checkWatermarks checks that each node knows every cancellation confirmed before its
// watermark, and takes none to be confirmed later than it was.
func (m *model) checkWatermarks(t *rapid.T) {
	for node, l := range m.logs {
		watermark := l.Watermark()
		if watermark.After(time.Now()) {
			t.Fatalf("%s: got a watermark %v in the future, want none", m.names[node], time.Until(watermark))
		}
		for _, c := range m.confirmed {
			confirmedAt, known := l.ConfirmedAt(c.job)
			if known && confirmedAt.After(c.at) {
				t.Fatalf("%s: got %s recorded as confirmed %v too late, want no later than it was", m.names[node], c.job, confirmedAt.Sub(c.at))
			}
			mustBeKnown := c.at.Before(watermark) && time.Since(c.at) < l.retention
			if mustBeKnown && !known {
				t.Fatalf("%s: got a watermark of %v ago, but the cancellation of %s, confirmed %v ago, is not known", m.names[node], time.Since(watermark), c.job, time.Since(c.at))
			}
		}
	}
}

// In an outage of the key-value store, the updates of all peers together raise the
// watermark. If one peer sends no update, or has restarted with an empty log, the watermark
// stays at that peer's last update.
func TestWatermarkFollowsUpdatesOfAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := New([]wire.NodeID{"b", "c"}, modelCancelTime), New([]wire.NodeID{"a", "c"}, modelCancelTime), New([]wire.NodeID{"a", "b"}, modelCancelTime)
		time.Sleep(time.Second)
		a.RecordRead(time.Now())
		var cursorB, cursorC uint64
		update := func(from wire.NodeID, l *Log, cursor *uint64) {
			var received Update
			received, *cursor = l.UpdateSince(*cursor)
			a.MergeUpdate(from, time.Now(), &received)
		}
		for range 30 {
			time.Sleep(time.Second)
			b.Add(wire.JobID(fmt.Sprint("req-", time.Now().Unix())), 0)
			update("b", b, &cursorB)
			update("c", c, &cursorC)
		}
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("updates of all peers: got a watermark of %v ago, want at most 1s", ago)
		}
		last := time.Now()
		c, cursorC = New([]wire.NodeID{"a", "b"}, modelCancelTime), 0
		for range 10 {
			time.Sleep(time.Second)
			update("b", b, &cursorB)
			update("c", c, &cursorC)
		}
		if at := a.Watermark(); !at.Equal(last) {
			t.Errorf("peer restarted: got a watermark %v after the last update of the peer's former process, want that update's time", at.Sub(last))
		}
		a.RecordRead(time.Now())
		time.Sleep(time.Second)
		update("b", b, &cursorB)
		update("c", c, &cursorC)
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("after a read: got a watermark of %v ago, want at most 1s", ago)
		}
	})
}

// The log is bounded. A node that had to drop records states a shorter span.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New([]wire.NodeID{"b"}, modelCancelTime)
		l.RecordRead(time.Now())
		for n := range maxRecords + 100 {
			l.Add(wire.JobID(fmt.Sprint("req-", n)), 0)
			time.Sleep(time.Millisecond / 10)
		}
		if len(l.records) > maxRecords || len(l.confirmedAt) != len(l.records) {
			t.Errorf("log over its bound: got %d records and %d times, want equal numbers of at most %d", len(l.records), len(l.confirmedAt), maxRecords)
		}
		update, cursor := l.UpdateSince(0)
		if update.OwnSpan != 0 || len(update.Cancelled) != maxUpdateEntries {
			t.Errorf("first update of many: got %d entries and a span of %v, want %d and 0", len(update.Cancelled), update.OwnSpan, maxUpdateEntries)
		}
		for update.OwnSpan == 0 {
			update, cursor = l.UpdateSince(cursor)
		}
		if update.OwnSpan >= time.Since(l.records[0].addedAt)+time.Millisecond {
			t.Errorf("last update of many: got a span of %v, want less than the log's of %v", update.OwnSpan, time.Since(l.records[0].addedAt))
		}
		time.Sleep(3 * modelCancelTime)
		l.Add("req-x", 0)
		if len(l.records) != 1 {
			t.Errorf("after the retention: got %d records, want 1", len(l.records))
		}
	})
}
