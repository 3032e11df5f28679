package terminator

import (
	"errors"
	"net/http"
	"strconv"
	"strings"

	"gooseberrymast"
	"gooseberrymast/protocol/encoder"
)

// errTicketUnknown means that a request's ticket is invalid or was issued for
// another service.
var errTicketUnknown = errors.New("the ticket was not issued by this service")

// parseTicket returns the ticket of a request, or the zero Ticket if it has none.
func (t *Terminator) parseTicket(r *http.Request) (gooseberrymast.Ticket, error) {
	text := r.Header.Get(encoder.HeaderTicket)
	if text == "" {
		return gooseberrymast.Ticket{}, nil
	}
	ticket, err := encoder.ParseTicketText(t.Keys(), text)
	if err != nil || ticket.Service != t.Tag {
		return gooseberrymast.Ticket{}, errTicketUnknown
	}
	return ticket, nil
}

// rejectRequest answers a request for which newExchange failed.
func (t *Terminator) rejectRequest(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, errTicketUnknown):
		_ = encoder.WriteRefusal(w, r, t.Driver.Refusal(gooseberrymast.ReasonTicketUnknown))
	case errors.Is(err, errBodyTimeout):
		_ = encoder.WriteRefusal(w, r, t.Driver.Refusal(gooseberrymast.ReasonDeadlinePassed))
	case errors.Is(err, errBodyAborted):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// serveTickets issues tickets, one per line.
func (t *Terminator) serveTickets(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		w.Header().Set("Allow", http.MethodPost)
		http.Error(w, "tickets are issued by POST", http.StatusMethodNotAllowed)
		return
	}
	count := 1
	if text := r.URL.Query().Get("n"); text != "" {
		requested, err := strconv.Atoi(text)
		if err != nil || requested < 1 || requested > encoder.MaxTickets {
			http.Error(w, "n must be between 1 and "+strconv.Itoa(encoder.MaxTickets), http.StatusBadRequest)
			return
		}
		count = requested
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
