package autoscaler

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/fleet"
	"lilaclead/internal/wire"
)

var smallScaleOut = fleet.ScaleOut{Type: "c4", Zone: "a", Count: 2, ForJob: "req-1"}

func TestScaleOutIsRecordedBeforeItIsSent(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.requestScaleOut(smallScaleOut)
		time.Sleep(time.Second)
		if stored, sent := term.storedScaleOutNames(), term.sim.ScaleOutNames(); len(stored) != 0 || len(sent) != 0 {
			t.Fatalf("requested only: recorded %v, sent %v, want neither", stored, sent)
		}

		term.recordScaleOuts(time.Now())
		time.Sleep(time.Second) // the outcome is not handled yet
		name := term.Tracker.PendingScaleOuts()[0].Name
		if stored, sent := term.storedScaleOutNames(), term.sim.ScaleOutNames(); !slices.Equal(stored, []string{name}) || len(sent) != 0 {
			t.Fatalf("record written: recorded %v, sent %v, want only %s recorded", stored, sent, name)
		}

		term.run(3 * time.Second)
		if sent := term.sim.ScaleOutNames(); !slices.Equal(sent, []string{name}) {
			t.Errorf("outcome handled: sent %v, want %s", sent, name)
		}
		if pending := term.Tracker.PendingScaleOuts(); len(pending) != 0 {
			t.Errorf("answered, but still pending: %v", pending)
		}
		if got := len(term.state.Machines); got != smallScaleOut.Count {
			t.Errorf("%d machines in the inventory, want %d", got, smallScaleOut.Count)
		}
		for _, machine := range term.state.Machines {
			if !machine.Booting || machine.MachineType != "c4" || machine.Zone != "a" || machine.Spot {
				t.Errorf("machine %+v, want a booting c4 on demand in zone a", machine)
			}
		}
	})
}

func TestScaleOutRecordIsClearedAWhileAfterTheAnswer(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.requestScaleOut(smallScaleOut)
		term.recordScaleOuts(time.Now())
		term.run(3 * time.Second)
		recordedAt := term.Intents.scaleOutsRecordedAt

		term.recordScaleOuts(recordedAt.Add(clearIntentsAfter))
		term.run(time.Second)
		if stored := term.storedScaleOutNames(); len(stored) != 1 {
			t.Errorf("%v after the record was written: recorded %v, want the request", clearIntentsAfter, stored)
		}

		term.recordScaleOuts(recordedAt.Add(clearIntentsAfter + 1))
		term.run(time.Second)
		if stored := term.storedScaleOutNames(); len(stored) != 0 {
			t.Errorf("after a longer time: recorded %v, want nothing", stored)
		}
	})
}

func TestScaleOutIsWithdrawnIfItsRecordIsRefused(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.loadIntents()
		term.requestScaleOut(smallScaleOut)
		term.makeOtherNodeLeader()
		term.recordScaleOuts(time.Now())
		term.run(5 * time.Second)
		if sent := term.sim.ScaleOutNames(); len(sent) != 0 {
			t.Errorf("sent %v, although the record was refused", sent)
		}
		if pending := term.Tracker.PendingScaleOuts(); len(pending) != 0 {
			t.Errorf("%d requests pending, want none", len(pending))
		}
		if !term.ended() {
			t.Error("the term has not ended, although another node leads")
		}
	})
}

func TestNewestScaleOutsAreWithdrawnIfTheRecordIsFull(t *testing.T) {
	withTerm(t, termOptions{valueKB: 1}, func(term *testTerm) {
		term.loadIntents()
		const requests = 20
		for range requests {
			term.requestScaleOut(fleet.ScaleOut{Type: "c4", Zone: "a", Count: 1})
		}
		first := term.Intents.unrecordedScaleOuts[0].Name
		term.recordScaleOuts(time.Now())
		term.run(time.Second)
		stored := term.storedScaleOutNames()
		if len(stored) == 0 || len(stored) == requests || !slices.Contains(stored, first) {
			t.Errorf("recorded %v, want some of %d requests with the oldest, %s", stored, requests, first)
		}
		if size := term.sim.State.LargestValue(scaleOutKey); size > 1024 {
			t.Errorf("the record has %d bytes, want at most 1024", size)
		}
		if len(term.Intents.unrecordedScaleOuts) != 0 {
			t.Errorf("%d requests are still to be recorded, want none", len(term.Intents.unrecordedScaleOuts))
		}
	})
}

func TestIntentsAreRecordedFromTheirVersionOn(t *testing.T) {
	cases := []struct {
		name    string
		options termOptions
		want    bool
	}{
		{"recording disabled", termOptions{withoutIntents: true, versioned: true, activeVersion: VersionIntents}, false},
		{"versions are not negotiated", termOptions{}, true},
		{"an earlier version is active", termOptions{versioned: true, activeVersion: VersionIntents - 1}, false},
		{"their version is active", termOptions{versioned: true, activeVersion: VersionIntents}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withTerm(t, c.options, func(term *testTerm) {
				if got := term.recordsIntents(); got != c.want {
					t.Errorf("%+v: intents are recorded: %v, want %v", c.options, got, c.want)
				}
				if !c.want {
					term.requestScaleOut(smallScaleOut)
					term.run(3 * time.Second)
					if sent := term.sim.ScaleOutNames(); len(sent) != 1 {
						t.Errorf("%+v: sent %v, want one request without a record", c.options, sent)
					}
				}
			})
		})
	}
}

func TestEarlierLeadersScaleOutIsRepeatedUnderItsName(t *testing.T) {
	for _, executed := range []bool{false, true} {
		t.Run(fmt.Sprint("executed before: ", executed), func(t *testing.T) {
			withTerm(t, termOptions{}, func(term *testTerm) {
				request := wire.ScaleOutRequest{Name: "b-1-4", Type: "c4", Zone: "b", Spot: true, Count: 2}
				intent := ScaleOutIntent{request, wire.TimestampOf(time.Now().Add(-time.Second))}
				term.sim.State.Put(scaleOutKey, duty.IntentRecord[ScaleOutIntent]{Token: 1, Open: []ScaleOutIntent{intent}})
				if executed {
					permit, err := duty.PermitFor[duty.ScaleOut](term.Lease.Lease)
					if err != nil {
						t.Fatal(err)
					}
					if _, err := term.Cloud.ScaleOut(term.Context(), permit, request); err != nil {
						t.Fatal(err)
					}
				}

				term.AdoptIntents(term.loadIntents())
				pending := term.Tracker.PendingScaleOuts()
				if len(pending) != 1 || pending[0].Name != request.Name || !pending[0].Adopted {
					t.Fatalf("pending %+v, want the adopted request %s", pending, request.Name)
				}
				term.run(3 * time.Second)
				if sent := term.sim.ScaleOutNames(); !slices.Equal(sent, []string{request.Name}) {
					t.Errorf("executed %v, want %s once", sent, request.Name)
				}
				if got := len(term.state.Machines); got != request.Count {
					t.Errorf("%d machines in the inventory, want %d", got, request.Count)
				}
			})
		})
	}
}

func TestMachinesOfAnOldAdoptedRequestComeFromTheList(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		request := wire.ScaleOutRequest{Name: "b-1-4", Type: "c4", Zone: "b", Count: 2}
		requestedAt := wire.TimestampOf(time.Now().Add(-time.Minute))
		term.AdoptIntents(EarlierIntents{scaleOuts: []ScaleOutIntent{{request, requestedAt}}})
		term.run(3 * time.Second)
		if got := len(term.state.Machines); got != 0 {
			t.Errorf("%d machines added for a request that is a minute old, want none: they may have been removed", got)
		}
	})
}

func TestScaleOutsAreNotAllowedIfTheirRecordCannotBeDecoded(t *testing.T) {
	withTerm(t, termOptions{}, func(term *testTerm) {
		term.sim.State.Put(scaleOutKey, "not a record")
		term.loadIntents()
		if term.mayScaleOut() {
			t.Error("scale-outs are allowed, although their record was not read")
		}
		if !term.Intents.scaleIns.Loaded() {
			t.Error("the record of scale-ins was not read")
		}
	})
}
