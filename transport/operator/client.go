package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"gooseberrymast"
)

// MaxAnswerBytes bounds the part of a response that a client reads.
const MaxAnswerBytes = 64 << 20

// maxErrorBytes bounds the part of an error response that a client repeats.
const maxErrorBytes = 512

// Timeout bounds one call of a client.
const Timeout = 10 * time.Second

// ErrNotFound means that the process doesn't hold the requested item.
var ErrNotFound = errors.New("not found")

// Client reads from the operators' address of one process.
type Client struct {
	// Address is the process's operators' address.
	Address netip.AddrPort
}

// Status reads the filtered status of a balancer. It fails with ErrNotFound if
// the balancer has no service of the filter's name.
func (c Client) Status(ctx context.Context, filter gooseberrymast.StatusFilter) (gooseberrymast.Status, error) {
	var status gooseberrymast.Status
	query := url.Values{}
	if filter.Service != "" {
		query.Set(QueryService, filter.Service)
	}
	if filter.Summary {
		query.Set(QuerySummary, "true")
	}
	path := PathStatus
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	if err := c.get(ctx, path, &status); err != nil {
		return status, fmt.Errorf("Client.Status: %w", err)
	}
	return status, nil
}

// AgentStatus reads the status of an agent.
func (c Client) AgentStatus(ctx context.Context) (gooseberrymast.AgentStatus, error) {
	var status gooseberrymast.AgentStatus
	if err := c.get(ctx, PathStatus, &status); err != nil {
		return status, fmt.Errorf("Client.AgentStatus: %w", err)
	}
	return status, nil
}

// Refusal reads a refusal from the agent that refused. It fails with
// ErrNotFound if the agent no longer holds it.
func (c Client) Refusal(ctx context.Context, id string) (RefusalReport, error) {
	var report RefusalReport
	if err := c.get(ctx, PathRefusals+url.PathEscape(id), &report); err != nil {
		return report, fmt.Errorf("Client.Refusal: %w", err)
	}
	return report, nil
}

// httpClient ignores the proxy settings of the operator's environment.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func (c Client) get(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, Timeout)
	defer cancel()
	target := "http://" + c.Address.String() + path
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return fmt.Errorf("GET %s: %w", target, err)
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %w", target, responseError(response))
	}
	body := io.LimitReader(response.Body, MaxAnswerBytes)
	if err := json.NewDecoder(body).Decode(into); err != nil {
		return fmt.Errorf("GET %s: decode the answer: %w", target, err)
	}
	return nil
}

func responseError(response *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	reason := strings.Join(strings.Fields(string(text)), " ")
	if response.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%w: %s", ErrNotFound, reason)
	}
	return fmt.Errorf("answered %s: %s", response.Status, reason)
}
