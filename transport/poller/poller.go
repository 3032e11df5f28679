// Package poller polls the backend server's health and load. They are hints
// only, since they may be out of date or wrong.
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
	// Timeout bounds one request to the backend server.
	Timeout = 900 * time.Millisecond
	// UnhealthyAfter is the number of consecutive failed polls after which the
	// backend server counts as unhealthy.
	UnhealthyAfter = 2
	// maxResponseBytes bounds the part of a response that is read.
	maxResponseBytes = 4 << 10
)

// Poller polls one backend server. The exported fields must be set before Start
// and must not change after it.
type Poller struct {
	// Address is where the backend server listens.
	Address netip.AddrPort
	// HealthPath is polled by GET; status 200 means healthy. If it is empty,
	// the server counts as healthy without polling.
	HealthPath string
	// LoadPath is polled by GET; the body is the number of requests in
	// progress in decimal. If it is empty, the load counts as zero without
	// polling.
	LoadPath string
	// Timer is the timer service.
	Timer gooseberrymast.Timer
	// Observe is called with the results of each poll.
	Observe func(healthy bool, load int32)

	mu       sync.Mutex
	client   *http.Client
	stop     func()
	failures int
	load     int32
}

// Start polls at once, and then every Period until Stop.
func (p *Poller) Start() {
	if p.HealthPath == "" && p.LoadPath == "" {
		return
	}
	p.client = &http.Client{
		Timeout:   Timeout,
		Transport: &http.Transport{MaxIdleConns: 1, ReadBufferSize: maxResponseBytes, WriteBufferSize: maxResponseBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	p.stop = p.Timer.Every(Period, func(time.Time) { p.Poll(context.Background()) })
	go p.Poll(context.Background())
}

// Stop stops the polling.
func (p *Poller) Stop() {
	if p.stop != nil {
		p.stop()
		p.client.CloseIdleConnections()
	}
}

// Poll polls health and load once and calls Observe.
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

// pollLoad updates the load. If the request fails, the previous load is kept.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return "", fmt.Errorf("Poller.get %s: %w", path, err)
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("Poller.get %s%s: status %d", p.Address, path, response.StatusCode)
	}
	return string(body), nil
}
