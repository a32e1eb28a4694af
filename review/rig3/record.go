package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file of a case. Its times count from the start of the case.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	text *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, text: bufio.NewWriter(file)}, nil
}

// now returns the time since the start.
func (r *record) now() time.Duration { return time.Since(r.start) }

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.text, "%8.3f  %s\n", r.now().Seconds(), fmt.Sprintf(format, args...)) //nolint:errcheck // close reports it.
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.text.Flush() //nolint:errcheck // the file is only read by people.
	r.file.Close() //nolint:errcheck // see above.
}
