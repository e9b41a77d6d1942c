package history_test

import (
	"context"
	"fmt"
	"os"
	"time"

	"lilaclead/history"
)

// A controller records its decisions. Afterwards the leases that it lost are looked up.
func Example() {
	dir, err := os.MkdirTemp("", "history")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(dir)

	recorder, err := history.NewRecorder(history.Options{Dir: dir, Controller: "worker-0"})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		recorder.Run(ctx)
	}()
	acquired := time.Date(2026, 12, 1, 10, 0, 0, 0, time.UTC)
	recorder.Record(history.Event{At: acquired, Kind: "acquired", Duty: "renting", Token: 7})
	recorder.Record(history.Event{At: acquired.Add(time.Minute), Kind: "lost", Duty: "renting", Token: 7, Reason: "lease expired"})
	cancel()
	<-runEnded // all recorded events are written

	events, damaged, err := history.Read(dir, history.Filter{Kind: "lost"})
	if err != nil {
		fmt.Println(err)
		return
	}
	for _, e := range events {
		fmt.Println(e.At.UTC().Format(time.TimeOnly), e.Controller, e.Kind, e.Duty, e.Token, e.Reason)
	}
	fmt.Println(len(damaged), "damaged files")
	// Output:
	// 10:01:00 worker-0 lost renting 7 lease expired
	// 0 damaged files
}
