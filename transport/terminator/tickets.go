package terminator

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// errTicket means that a request's ticket is of no use at this agent.
var errTicket = errors.New("the ticket was not issued by this service")

// ticket reads the ticket of a request, if it carries one.
func (t *Terminator) ticket(r *http.Request) (gooseberrymast.Ticket, error) {
	text := r.Header.Get(encoder.HeaderTicket)
	if text == "" {
		return gooseberrymast.Ticket{}, nil
	}
	ticket, err := encoder.ParseTicketText(t.Keys(), text)
	if err != nil || ticket.Service != t.Tag {
		return gooseberrymast.Ticket{}, errTicket
	}
	return ticket, nil
}

// reject answers a request that never became work.
func (t *Terminator) reject(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, errTicket):
		_ = encoder.WriteRefusal(w, r, t.Driver.Refusal(gooseberrymast.ReasonTicketUnknown))
	case errors.Is(err, errSlowBody):
		_ = encoder.WriteRefusal(w, r, t.Driver.Refusal(gooseberrymast.ReasonDeadlinePassed))
	case errors.Is(err, errBody):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serveTickets issues tickets, one a line.
func (t *Terminator) serveTickets(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "tickets are issued by POST", http.StatusMethodNotAllowed)
		return
	}
	count := 1
	if text := r.URL.Query().Get("n"); text != "" {
		asked, err := strconv.Atoi(text)
		if err != nil || asked < 1 || asked > encoder.MaxTickets {
			http.Error(w, "n must be between 1 and "+strconv.Itoa(encoder.MaxTickets), http.StatusBadRequest)
			return
		}
		count = asked
	}
	lines := make([]string, 0, count)
	for range count {
		text, err := encoder.TicketText(t.Keys(), t.Driver.Issue())
		if err != nil {
			http.Error(w, "no ticket can be issued", http.StatusInternalServerError)
			return
		}
		lines = append(lines, text)
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	w.Write([]byte(strings.Join(lines, "\n") + "\n"))
}
