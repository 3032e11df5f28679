package backend

import (
	"fmt"
	"net/http"
	"time"
)

// report is what the health and load endpoints would have said at a time.
type report struct {
	at      time.Time
	healthy bool
	load    int
}

// maxHistory bounds the reports kept for ReportLag.
const maxHistory = 4096

// record notes the present state; the lock must be held.
func (b *Backend) record() {
	now := report{at: time.Now(), healthy: b.healthy, load: b.load()}
	if b.ReportLag == 0 {
		b.history = append(b.history[:0], now)
		return
	}
	if len(b.history) >= maxHistory {
		b.history = append(b.history[:0], b.history[maxHistory/2:]...)
	}
	b.history = append(b.history, now)
}

func (b *Backend) load() int {
	if b.lie != nil {
		return *b.lie
	}
	return b.running
}

// reported gives the state as it was ReportLag ago.
func (b *Backend) reported() report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.history) == 0 {
		return report{load: b.load()}
	}
	until := time.Now().Add(-b.ReportLag)
	shown := b.history[0]
	for _, past := range b.history {
		if past.at.After(until) {
			break
		}
		shown = past
	}
	return shown
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	if !b.reported().healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("healthy\n"))
}

func (b *Backend) serveLoad(w http.ResponseWriter) {
	fmt.Fprintln(w, b.reported().load)
}
