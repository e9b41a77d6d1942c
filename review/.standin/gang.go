package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// gangs are the attempts of gangs, by job and attempt number.
type gangs struct {
	mu  sync.Mutex
	all map[string]*gang
}

type gang struct {
	members map[string]*member
	running bool
	done    bool
}

type member struct {
	w *worker
	t *workerTask
}

// join runs a gang's task that has its image, until it has exited. It is called without the worker's lock.
func (g *gangs) join(ctx context.Context, w *worker, t *workerTask, parts int, runTime time.Duration) {
	key := fmt.Sprint(t.spec.ID, "#", t.try)
	g.mu.Lock()
	if g.all == nil {
		g.all = map[string]*gang{}
	}
	if g.all[key] == nil {
		g.all[key] = &gang{members: map[string]*member{}}
	}
	this := g.all[key]
	this.members[t.name] = &member{w, t}
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(this.members, t.name)
		g.mu.Unlock()
	}()
	waitUntil := time.Now().Add(50 * time.Second)
	var runUntil, gone time.Time
	for sleep(ctx, 50*time.Millisecond) {
		w.awake()
		g.mu.Lock()
		if len(this.members) == parts {
			this.running = true
		}
		running, done, whole := this.running, this.done, len(this.members) == parts
		for _, m := range this.members {
			m.w.mu.Lock()
			whole = whole && !time.Now().Before(m.w.hungUntil)
			m.w.mu.Unlock()
		}
		g.mu.Unlock()
		exit := ""
		switch {
		case done:
			return
		case !running:
			if time.Now().After(waitUntil) {
				exit = "alone"
			}
		case !whole:
			if gone.IsZero() {
				gone = time.Now()
			}
			if time.Since(gone) > 2*time.Second {
				exit = "mates_gone"
			}
		default:
			if runUntil.IsZero() {
				runUntil = time.Now().Add(runTime)
			}
			if time.Now().After(runUntil) {
				g.complete(this, parts)
				continue
			}
		}
		w.mu.Lock()
		if ctx.Err() != nil || w.tasks[t.key()] != t || t.status == "exited" {
			w.mu.Unlock()
			return
		}
		if running && t.status == "waiting" {
			t.status = "running"
			w.changed()
		}
		if exit != "" {
			w.exit(t, exit)
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}

// complete ends all tasks of a gang together, if all are there.
func (g *gangs) complete(this *gang, parts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(this.members) != parts || this.done {
		return
	}
	this.done = true
	workers := map[*worker]bool{}
	for _, m := range this.members {
		workers[m.w] = true
	}
	for w := range workers {
		w.mu.Lock()
		defer w.mu.Unlock()
	}
	for _, m := range this.members {
		m.w.d.checker.completed(m.t.name)
		if m.w.tasks[m.t.key()] == m.t && m.t.status != "exited" {
			m.w.exit(m.t, "done")
		}
	}
}
