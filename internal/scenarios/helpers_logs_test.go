package scenarios_test

import (
	"bytes"
	"strings"
	"sync"
)

// processLog is the log of one controller process, or of several.
type processLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the log.
func (l *processLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// countErrors counts the lines of level ERROR that contain a text.
func (l *processLog) countErrors(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for line := range strings.Lines(l.buf.String()) {
		if strings.Contains(line, "ERROR") && strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// firstLineWith returns the number and text of the first line that contains all the texts, and
// whether there is one.
func (l *processLog) firstLineWith(texts ...string) (number int, text string, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	number = 0
	for line := range strings.Lines(l.buf.String()) {
		matches := 0
		for _, text := range texts {
			if strings.Contains(line, text) {
				matches++
			}
		}
		if matches == len(texts) {
			return number, line, true
		}
		number++
	}
	return 0, "", false
}
