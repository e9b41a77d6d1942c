// Command review-standin runs one case of the review: it starts the controllers as processes by the
// deploy file, and serves stand-ins for the state service, the cloud, the workers and the users. It
// exits with 1 if the case's rule was broken, with 0 if it held, and with 2 if the case couldn't run.
// With TROUBLE=0 in its environment it leaves the disruption out. KEEP=1 keeps the controllers' logs.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// cases are the cases by name. Each returns the exit status.
var cases = map[string]func(record *recorder, trouble bool) int{
	"1": faultyMachine,
	"2": manySmallTasks,
	"3": gangThatFitsNowhere,
	// These two are no cases: they look for broken rules at random.
	"random": randomTroubles,
	"odd":    oddSpecs,
}

// caseTime bounds the run of a case.
const caseTime = 117 * time.Second

func main() {
	// The controllers are started by this thread and get a signal if it ends.
	runtime.LockOSThread()
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin CASE RECORD")
		os.Exit(couldNot)
	}
	name := os.Args[1]
	record, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		limit := time.Duration(1 << 62)
		if len(name) == 1 {
			limit = caseTime
		}
		select {
		case <-stopped:
		case <-time.After(limit):
		}
		record.printf("can't run: stopped, or out of time")
		if d := current.Load(); d != nil {
			d.close()
		}
		os.Exit(couldNot)
	}()
	status := cases[name](record, os.Getenv("TROUBLE") != "0")
	record.close()
	os.Exit(status)
}
