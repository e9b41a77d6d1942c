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

const modelCancelTime = 20 * time.Second

// Nodes that confirm cancellations, read the key-value store or are refused by
// it, tell each other over streams whose answers come late or never, end, and
// are back with nothing. The plain model is the list of all that was ever
// confirmed: all before a node's watermark it knows.
func TestWatermarkIsComplete(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) {
			m := newModel()
			for step := range rapid.IntRange(10, 120).Draw(rt, "steps") {
				m.act(rt, step)
				m.checkWatermarks(rt)
				time.Sleep(time.Millisecond)
			}
		})
	})
}

const modelNodes = 3

// model is a deployment of three nodes with all that they ever confirmed.
type model struct {
	names     [modelNodes]wire.NodeID
	logs      [modelNodes]*Log
	cursors   [modelNodes][modelNodes]uint64   // by sender, then receiver
	pending   [modelNodes][modelNodes][]answer // in flight on the stream that is open
	confirmed []confirmation                   // by any node, in order
}

// answer is an update in an answer that was not received yet.
type answer struct {
	sent   time.Time
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

// act lets one node do one thing.
func (m *model) act(t *rapid.T, step int) {
	node := rapid.IntRange(0, modelNodes-1).Draw(t, "node")
	peer := (node + rapid.IntRange(1, modelNodes-1).Draw(t, "peer")) % modelNodes
	switch rapid.IntRange(0, 9).Draw(t, "action") {
	case 0, 1:
		m.confirm(node, step)
	case 2:
		m.read(t, node)
	case 3, 4, 5:
		m.ask(t, node, peer)
	case 6, 7:
		m.receive(node, peer)
	case 8:
		if rapid.IntRange(0, 3).Draw(t, "restarts") == 0 {
			m.restart(node)
		}
		m.breakStreams(node) // or its links only
	case 9:
		time.Sleep(time.Duration(rapid.IntRange(0, 8000).Draw(t, "wait")) * time.Millisecond)
	}
}

func (m *model) confirm(node, step int) {
	job := wire.JobID(fmt.Sprintf("req-%d", step))
	m.logs[node].Add(job, 0)
	m.confirmed = append(m.confirmed, confirmation{job, time.Now()})
}

// read lets a node read the key-value store. That takes a while, and shows what was
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

// ask lets the peer ask the node, whose answer is made after a moment.
func (m *model) ask(t *rapid.T, node, peer int) {
	sent := time.Now()
	time.Sleep(time.Duration(rapid.IntRange(0, 200).Draw(t, "ask")) * time.Millisecond)
	var update Update
	update, m.cursors[node][peer] = m.logs[node].UpdateSince(m.cursors[node][peer])
	m.pending[node][peer] = append(m.pending[node][peer], answer{sent, update})
}

// receive lets the peer receive all answers of the node.
func (m *model) receive(node, peer int) {
	for _, a := range m.pending[node][peer] {
		m.logs[peer].MergeUpdate(m.names[node], a.sent, &a.update)
	}
	m.pending[node][peer] = nil
}

func (m *model) breakStreams(node int) {
	for other := range m.logs {
		m.cursors[node][other], m.cursors[other][node] = 0, 0
		m.pending[node][other], m.pending[other][node] = nil, nil
	}
}

// checkWatermarks checks that each node knows all that was confirmed before its watermark,
// and dates none of it too late.
func (m *model) checkWatermarks(t *rapid.T) {
	for node, l := range m.logs {
		watermark := l.Watermark()
		if watermark.After(time.Now()) {
			t.Fatalf("%s: got a watermark in %v, want none in the future", m.names[node], time.Until(watermark))
		}
		for _, c := range m.confirmed {
			confirmedAt, known := l.ConfirmedAt(c.job)
			if known && confirmedAt.After(c.at) {
				t.Fatalf("%s: got %s confirmed %v after it was, want not later", m.names[node], c.job, confirmedAt.Sub(c.at))
			}
			mustBeKnown := c.at.Before(watermark) && time.Since(c.at) < l.retention
			if mustBeKnown && !known {
				t.Fatalf("%s: got a watermark of %v ago, but %s of %v ago is not known", m.names[node], time.Since(watermark), c.job, time.Since(c.at))
			}
		}
	}
}

// In an outage the updates of all peers raise the watermark; with one that sends none, or
// has restarted and knows nothing, it stays at the last update of that one.
func TestWatermarkFollowsUpdatesOfAllPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a, b, c := New([]wire.NodeID{"b", "c"}, modelCancelTime), New([]wire.NodeID{"a", "c"}, modelCancelTime), New([]wire.NodeID{"a", "b"}, modelCancelTime)
		time.Sleep(time.Second)
		a.RecordRead(time.Now())
		var fromB, fromC uint64
		update := func(from wire.NodeID, l *Log, cursor *uint64) {
			var received Update
			received, *cursor = l.UpdateSince(*cursor)
			a.MergeUpdate(from, time.Now(), &received)
		}
		for range 30 {
			time.Sleep(time.Second)
			b.Add(wire.JobID(fmt.Sprint("req-", time.Now().Unix())), 0)
			update("b", b, &fromB)
			update("c", c, &fromC)
		}
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("updates of all peers: got a watermark of %v ago, want at most 1s", ago)
		}
		last := time.Now()
		c, fromC = New([]wire.NodeID{"a", "b"}, modelCancelTime), 0
		for range 10 {
			time.Sleep(time.Second)
			update("b", b, &fromB)
			update("c", c, &fromC)
		}
		if at := a.Watermark(); !at.Equal(last) {
			t.Errorf("peer restarted: got a watermark %v after the last update of its former process, want that update's time", at.Sub(last))
		}
		a.RecordRead(time.Now())
		time.Sleep(time.Second)
		update("b", b, &fromB)
		update("c", c, &fromC)
		if ago := time.Since(a.Watermark()); ago > time.Second {
			t.Errorf("after a read: got a watermark of %v ago, want at most 1s", ago)
		}
	})
}

// What is kept is bounded; a node that had to drop some states a shorter span.
func TestLogIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New([]wire.NodeID{"b"}, modelCancelTime)
		l.RecordRead(time.Now())
		for n := range maxRecords + 100 {
			l.Add(wire.JobID(fmt.Sprint("req-", n)), 0)
			time.Sleep(time.Millisecond / 10)
		}
		if len(l.records) > maxRecords || len(l.confirmedAt) != len(l.records) {
			t.Errorf("got %d records and %d times, want at most %d of both", len(l.records), len(l.confirmedAt), maxRecords)
		}
		update, cursor := l.UpdateSince(0)
		if update.OwnSpan != 0 || len(update.Cancelled) != maxUpdateEntries {
			t.Errorf("first update of many: got %d entries and a span of %v, want %d and 0", len(update.Cancelled), update.OwnSpan, maxUpdateEntries)
		}
		for update.OwnSpan == 0 {
			update, cursor = l.UpdateSince(cursor)
		}
		if update.OwnSpan >= time.Since(l.records[0].addedAt)+time.Millisecond {
			t.Errorf("got a span of %v, want less than the log's of %v", update.OwnSpan, time.Since(l.records[0].addedAt))
		}
		time.Sleep(3 * modelCancelTime)
		l.Add("req-x", 0)
		if len(l.records) != 1 {
			t.Errorf("after the retention: got %d records, want 1", len(l.records))
		}
	})
}
