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

var errNoTicket = errors.New("the agent gave no ticket")

// popTicket takes a ticket from the stock.
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

// stockTickets keeps a batch of tickets and gives its first.
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

// ticketBatch is the number of tickets that are had at once.
const ticketBatch = 16

// attachTicket takes a ticket from the stock, which it fills first if empty.
func (c *Client) attachTicket(prepared *outgoing) error {
	ticket, err := c.takeTicket(prepared.request)
	if err != nil {
		return err
	}
	prepared.ticket = ticket
	prepared.request.Header.Set(encoder.HeaderTicket, ticket)
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
	ask, err := http.NewRequestWithContext(request.Context(), http.MethodPost, target.String(), nil)
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	response, err := c.roundTrip(ask)
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxHeldBytes))
	if err != nil {
		return "", fmt.Errorf("Client.takeTicket: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("Client.takeTicket: status %d", response.StatusCode)
	}
	return c.stockTickets(string(text))
}
