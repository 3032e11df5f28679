// Package poller asks the backend server for its health and load and passes
// them on as hints, which may lag or mislead.
package poller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"

	"gooseberrymast"
)

// The bounds of polling.
const (
	// Period is the time between polls.
	Period = time.Second
	// Timeout bounds one question to the backend server.
	Timeout = 900 * time.Millisecond
	// UnhealthyAfter is the number of polls in a row that must fail before
	// the backend server counts as unhealthy.
	UnhealthyAfter = 2
	// maxAnswerBytes bounds what is read of an answer.
	maxAnswerBytes = 4 << 10
)

// Poller polls one backend server. The exported fields must be set before Start
// and must not change after it.
type Poller struct {
	// Address is where the backend server listens.
	Address netip.AddrPort
	// HealthPath is polled by GET; 200 is healthy. Empty is not polled and
	// counts as healthy.
	HealthPath string
	// LoadPath is polled by GET; the body is the number of requests in
	// progress in decimal. Empty is not polled and counts as zero.
	LoadPath string
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Observe is given what was learnt, once a poll.
	Observe func(healthy bool, load int32)

	mu       sync.Mutex
	client   *http.Client
	stop     func()
	failures int
	load     int32
}

// Start polls now and then once a Period until Stop.
func (p *Poller) Start() {
	if p.HealthPath == "" && p.LoadPath == "" {
		return
	}
	p.client = &http.Client{
		Timeout:   Timeout,
		Transport: &http.Transport{MaxIdleConns: 1, ReadBufferSize: maxAnswerBytes, WriteBufferSize: maxAnswerBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	p.stop = p.Timer.Every(Period, func(time.Time) { p.Poll(context.Background()) })
	go p.Poll(context.Background())
}

// Stop ends the polling.
func (p *Poller) Stop() {
	if p.stop != nil {
		p.stop()
		p.client.CloseIdleConnections()
	}
}

// Poll asks once.
func (p *Poller) Poll(ctx context.Context) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pollHealth(ctx)
	p.pollLoad(ctx)
	p.Observe(p.failures < UnhealthyAfter, p.load)
}

func (p *Poller) pollHealth(ctx context.Context) {
	if p.HealthPath == "" {
		return
	}
	_, err := p.get(ctx, p.HealthPath)
	if err == nil {
		p.failures = 0
		return
	}
	p.failures++
	if p.failures == UnhealthyAfter {
		log.Warn().Err(err).Msg("the backend server says that it is unhealthy")
	}
}

// pollLoad keeps the load of the poll before when this one fails.
func (p *Poller) pollLoad(ctx context.Context) {
	if p.LoadPath == "" {
		return
	}
	body, err := p.get(ctx, p.LoadPath)
	if err != nil {
		return
	}
	load, err := strconv.ParseInt(strings.TrimSpace(body), 10, 32)
	if err == nil && load >= 0 {
		p.load = int32(load)
	}
}

func (p *Poller) get(ctx context.Context, path string) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address.String()+path, nil)
	if err != nil {
		return "", fmt.Errorf("Poller.get %s: %w", path, err)
	}
	response, err := p.client.Do(request)
	if err != nil {
		return "", fmt.Errorf("Poller.get %s: %w", path, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return "", fmt.Errorf("Poller.get %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("Poller.get %s%s: status %d", p.Address, path, response.StatusCode)
	}
	return string(body), nil
}
