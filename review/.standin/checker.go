package main

import (
	"fmt"
	"sync"
)

// checker sees what runs where.
type checker struct {
	record *recorder
	quiet  bool // starts and ends of tasks are not written one by one

	mu     sync.Mutex
	places map[string]map[string]uint64 // by task and machine: the attempt that is there
	done   map[string]bool
	starts map[string]int // by task
	twice  []string
	on     map[string]onMachine           // by task, those that are on a machine
	check  func(w *worker, t *workerTask) // called at each start, with the lock held
}

// onMachine is a task that is on a machine.
type onMachine struct {
	w    *worker
	spec *jobSpec
}

func newChecker(record *recorder) *checker {
	return &checker{record: record, places: map[string]map[string]uint64{}, done: map[string]bool{}, starts: map[string]int{}, on: map[string]onMachine{}}
}

func (c *checker) started(w *worker, t *workerTask) {
	task, machine, try := t.name, w.name, t.try
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, otherTry := range c.places[task] {
		if other != machine {
			text := fmt.Sprintf("ran_twice: %s try %d starts on %s while try %d is on %s", task, try, machine, otherTry, other)
			c.twice = append(c.twice, text)
			c.record.logf("%s", text)
		}
	}
	if c.places[task] == nil {
		c.places[task] = map[string]uint64{}
	}
	c.places[task][machine] = try
	c.starts[task]++
	c.on[task] = onMachine{w, t.spec}
	if c.check != nil {
		c.check(w, t)
	}
	if !c.quiet {
		c.record.logf("task %s try %d starts on %s", task, try, machine)
	}
}

func (c *checker) left(task, machine string, try uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.places[task], machine)
	if len(c.places[task]) == 0 {
		delete(c.on, task)
	}
	if !c.quiet {
		c.record.logf("task %s try %d is no longer on %s", task, try, machine)
	}
}

func (c *checker) completed(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[task] = true
}

func (c *checker) isDone(task string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.done[task]
}

// doneOf counts the completed tasks of a job.
func (c *checker) doneOf(id string, parts int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range parts {
		if c.done[fmt.Sprintf("%s/%d", id, i)] {
			n++
		}
	}
	return n
}

// startsOf counts the starts of the tasks of a job.
func (c *checker) startsOf(id string, parts int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for i := range parts {
		n += c.starts[fmt.Sprintf("%s/%d", id, i)]
	}
	return n
}

// onMachines counts the tasks that are on machines.
func (c *checker) onMachines() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.on)
}
