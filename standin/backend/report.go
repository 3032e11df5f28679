package backend

import (
	"fmt"
	"net/http"
	"time"
)

// report is the state at one point in time, as returned by PathHealth and
// PathLoad.
type report struct {
	at      time.Time
	healthy bool
	load    int
}

// maxHistory limits the number of reports kept for ReportLag.
const maxHistory = 4096

// recordReport adds the current state to the history. The lock must be held.
func (b *Backend) recordReport() {
	now := report{at: time.Now(), healthy: b.healthy, load: b.currentLoad()}
	if b.ReportLag == 0 {
		b.history = append(b.history[:0], now)
		return
	}
	if len(b.history) >= maxHistory {
		b.history = append(b.history[:0], b.history[maxHistory/2:]...)
	}
	b.history = append(b.history, now)
}

func (b *Backend) currentLoad() int {
	if b.loadOverride != nil {
		return *b.loadOverride
	}
	return b.running
}

// delayedReport returns the state as it was ReportLag ago.
func (b *Backend) delayedReport() report {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.history) == 0 {
		return report{load: b.currentLoad()}
	}
	until := time.Now().Add(-b.ReportLag)
	latest := b.history[0]
	for _, r := range b.history {
		if r.at.After(until) {
			break
		}
		latest = r
	}
	return latest
}

func (b *Backend) serveHealth(w http.ResponseWriter) {
	if !b.delayedReport().healthy {
		http.Error(w, "unhealthy", http.StatusServiceUnavailable)
		return
	}
	w.Write([]byte("healthy\n"))
}

func (b *Backend) serveLoad(w http.ResponseWriter) {
	fmt.Fprintln(w, b.delayedReport().load)
}
