package autoscaler

import (
	"context"
	"log/slog"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lilaclead/duty"
	"lilaclead/internal/cloud"
	"lilaclead/internal/config"
	"lilaclead/internal/leader/cluster"
	"lilaclead/internal/leader/core"
	"lilaclead/internal/leader/election"
	"lilaclead/internal/leader/scaling"
	"lilaclead/internal/leader/scheduling"
	"lilaclead/internal/simulator"
	"lilaclead/internal/store"
	"lilaclead/internal/tuning"
	"lilaclead/internal/wire"
	"lilaclead/upgrade"
)

var (
	scaleOutKey = duty.IntentKey(duty.ScaleOut{}.Name())
	scaleInKey  = duty.IntentKey(duty.ScaleIn{}.Name())
)

// testTerm is a scaler with the loop that handles its events, against the simulator's
// key-value store and cloud.
type testTerm struct {
	*Scaler
	t       *testing.T
	sim     *simulator.Simulation
	catalog *cluster.MachineCatalog
}

// termOptions are the options of a test's term.
type termOptions struct {
	valueKB        float64         // size limit of a record in KB; 0: that of the simulator's settings
	withoutIntents bool            // intents are not recorded
	versioned      bool            // intents are recorded only if VersionIntents or later is active
	activeVersion  upgrade.Version // the version of the behaviour that is active
}

// withTerm runs a test of a term that holds the lease, in virtual time.
func withTerm(t *testing.T, options termOptions, test func(term *testTerm)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		settings := simulator.DefaultSettings()
		if options.valueKB > 0 {
			settings.State.ValueKB = options.valueKB
		}
		sim := simulator.New(ctx, settings, 1, nil, nil)
		term := newTestTerm(t, sim, settings, options)
		defer sim.Close()
		defer term.Wait()
		defer cancel()
		term.Begin(ctx)
		test(term)
	})
}

func newTestTerm(t *testing.T, sim *simulator.Simulation, settings config.Settings, options termOptions) *testTerm {
	network := sim.Net.Host(simulator.NodeIP(0))
	log := slog.New(slog.DiscardHandler)
	client := store.New(simulator.KVStoreAddr, settings.State, 1, network)
	candidate := election.NewCandidate(&config.Config{HostName: "a", Settings: settings}, client, log, func(context.Context, wire.FencingToken) {})
	token := wire.FencingToken(sim.State.Put(store.LeaderKey, candidate.LeaseRecord()))
	now := time.Now()
	lease := election.NewLease(candidate, election.Acquisition{Token: token, AcquiredAt: now, ValidUntil: now.Add(time.Hour)})
	metrics := &core.Metrics{FleetChange: func(string, int) {}, TaskInterrupted: func(string) {}, ScaleOutHolds: func(map[string]int) {}}
	loop := core.NewLoop(lease, log, metrics)
	catalog := &cluster.MachineCatalog{}
	state := cluster.NewState(&settings, catalog, now, token)
	state.ActiveVersion = options.activeVersion
	tracker := scaling.NewTracker(token)
	scheduler := scheduling.NewScheduler(state, tuning.NewCurrent(), tracker, log)
	scaler := NewScaler(loop, state, scheduler, tracker, Options{
		Cloud:         cloud.New(simulator.CloudAddr, settings.Cloud, network),
		RecordIntents: !options.withoutIntents,
		Versioned:     options.versioned,
	})
	return &testTerm{Scaler: scaler, t: t, sim: sim, catalog: catalog}
}

// loadIntents reads the earlier leader's intents, without which none can be recorded.
func (term *testTerm) loadIntents() EarlierIntents {
	term.t.Helper()
	earlier, err := term.Intents.Load(term.Context())
	if err != nil {
		term.t.Fatalf("loading the intents failed: %v", err)
	}
	return earlier
}

// run handles the loop's events for the given duration of virtual time.
func (term *testTerm) run(duration time.Duration) {
	end := time.After(duration)
	for {
		select {
		case event := <-term.Events:
			term.handle(event)
		case <-end:
			return
		}
	}
}

func (term *testTerm) handle(event core.Event) {
	switch e := event.(type) {
	case ScaleOutsRecorded:
		term.OnScaleOutsRecorded(e.Requests, e.Err)
	case ScaleOutAnswered:
		term.OnScaleOutAnswered(e.Request, e.Machines, e.Err)
	case ScaledIn:
		term.OnScaledIn(e.Machines)
	default:
		term.t.Errorf("unexpected event %T", event)
	}
}

// storedScaleOutNames returns the names of the recorded scale-out requests.
func (term *testTerm) storedScaleOutNames() []string {
	names := []string{}
	for _, intent := range storedIntents[ScaleOutIntent](term, scaleOutKey) {
		names = append(names, intent.Request.Name)
	}
	slices.Sort(names)
	return names
}

// storedIntents returns the intents that a record holds; none if there is no record.
func storedIntents[T any](term *testTerm, key string) []T {
	term.t.Helper()
	var record duty.IntentRecord[T]
	if value := term.sim.State.Value(key); value != nil {
		if err := wire.Decode(value, &record); err != nil {
			term.t.Fatalf("record %s can't be decoded: %v", key, err)
		}
	}
	return record.Open
}

// makeOtherNodeLeader writes the leader record of another node, which takes the lease from the term.
func (term *testTerm) makeOtherNodeLeader() {
	term.sim.State.Put(store.LeaderKey, store.LeaseRecord{Node: "b", Nonce: "other"})
}

// ended reports whether the term has ended.
func (term *testTerm) ended() bool {
	select {
	case <-term.Done:
		return true
	default:
		return false
	}
}
