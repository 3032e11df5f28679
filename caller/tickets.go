package caller

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"gooseberrymast/protocol/encoder"
)

var errNoTicket = errors.New("the agent returned no tickets")

// popTicket removes a ticket from the stock and returns it, if there is one.
func (c *Client) popTicket() (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.tickets) == 0 {
		return "", false
	}
	ticket := c.tickets[0]
	c.tickets = c.tickets[1:]
	return ticket, true
}

// stockTickets parses a batch of tickets, returns its first and adds the others to the
// stock.
func (c *Client) stockTickets(text string) (string, error) {
	lines := strings.Fields(text)
	if len(lines) == 0 {
		return "", errNoTicket
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.tickets = append(c.tickets, lines[1:]...)
	return lines[0], nil
}

// ticketBatch is the number of tickets that are fetched at once.
const ticketBatch = 16

// attachTicket sets a ticket on the request. It takes one from the stock, or fetches a
// batch from the agent if the stock is empty.
func (c *Client) attachTicket(outgoing *outgoingRequest) error {
	ticket, err := c.takeTicket(outgoing.request)
	if err != nil {
		return err
	}
	outgoing.ticket = ticket
	outgoing.request.Header.Set(encoder.HeaderTicket, ticket)
	return nil
}

func (c *Client) takeTicket(request *http.Request) (string, error) {
	if ticket, ok := c.popTicket(); ok {
		return ticket, nil
	}
	target := *request.URL
	target.Path = encoder.TicketPath
	target.RawPath = ""
	target.RawQuery = "n=" + strconv.Itoa(ticketBatch)
	ticketRequest, err := http.NewRequestWithContext(request.Context(), http.MethodPost, target.String(), nil)
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	response, err := c.roundTrip(ticketRequest, true)
	if errors.Is(err, errSilent) {
		response, err = c.roundTrip(ticketRequest, false) // Tickets that stay unused do no harm.
	}
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBytes))
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("Client.takeTicket: status %d", response.StatusCode)
	}
	return c.stockTickets(string(text))
}
