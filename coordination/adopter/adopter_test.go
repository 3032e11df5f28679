package adopter

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"gooseberrymast"
)

func newAdopter() *Adopter {
	return &Adopter{Environment: "trial", Parse: func(text []byte) (gooseberrymast.Document, error) {
		if strings.Contains(string(text), "bad") {
			return gooseberrymast.Document{}, errors.New("bad document")
		}
		return gooseberrymast.Document{}, nil
	}}
}

func revision(number uint64, text string) gooseberrymast.Revision {
	return gooseberrymast.Revision{Number: number, Environment: "trial", WriteID: text, Text: []byte(text)}
}

func TestOffer(t *testing.T) {
	foreign := revision(9, "nine")
	foreign.Environment = "production"
	tests := []struct {
		name    string
		offers  []gooseberrymast.Revision
		current uint64
		newest  uint64
		fault   bool
	}{
		{"rises", []gooseberrymast.Revision{revision(1, "one"), revision(3, "three")}, 3, 3, false},
		{"never falls", []gooseberrymast.Revision{revision(3, "three"), revision(2, "two")}, 3, 3, false},
		{"again", []gooseberrymast.Revision{revision(3, "three"), revision(3, "three")}, 3, 3, false},
		{"keeps what is in force when the newest is bad", []gooseberrymast.Revision{revision(1, "one"), revision(2, "bad")}, 1, 2, true},
		{"rises above a bad one", []gooseberrymast.Revision{revision(2, "bad"), revision(3, "three")}, 3, 3, false},
		{"other environment", []gooseberrymast.Revision{foreign}, 0, 0, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := newAdopter()
			for _, offer := range test.offers {
				_, _ = a.Offer(offer) // The resulting state is compared below.
			}
			is.Equal(a.Current.Number, test.current)
			is.Equal(a.Newest, test.newest)
			is.Equal(a.Fault != "", test.fault)
		})
	}
}

func TestOfferPanicsOnSecondTextForRevision(t *testing.T) {
	a := newAdopter()
	_, err := a.Offer(revision(1, "one"))
	is.New(t).NoErr(err)
	defer func() { is.New(t).True(recover() != nil) }()
	_, _ = a.Offer(revision(1, "other"))
}

func TestPackedRevisionRoundTrip(t *testing.T) {
	is := is.New(t)
	long := strings.Repeat("[services.ledger]\nzones = [\"cairo-a\"]\n", 200)
	sender, receiver, withoutBase := newAdopter(), newAdopter(), newAdopter()
	for i, text := range []string{long + "# one", long + "# two"} {
		_, err := sender.Offer(revision(uint64(i+1), text))
		is.NoErr(err)
		if i == 0 {
			_, err = receiver.Offer(sender.Current)
			is.NoErr(err)
		}
	}
	packed := sender.Pack(1)
	is.Equal(packed.Base, uint64(1))
	is.True(len(packed.Packed) < 100) // only the difference is sent
	got, err := receiver.Unpack(packed)
	is.NoErr(err)
	is.Equal(string(got.Text), string(sender.Current.Text))

	_, err = withoutBase.Unpack(packed)
	is.True(errors.Is(err, ErrNoBase))
	got, err = withoutBase.Unpack(sender.Pack(0))
	is.NoErr(err)
	is.Equal(string(got.Text), string(sender.Current.Text))

	packed.TextHash++
	_, err = receiver.Unpack(packed)
	is.True(errors.Is(err, ErrBadSum))
}

func TestAdvanceWithoutText(t *testing.T) {
	is := is.New(t)
	a := newAdopter()
	tag := gooseberrymast.TagOf("ledger")
	is.True(!a.Advance(1, tag, 1)) // nothing is in force yet
	_, err := a.Offer(revision(1, "one"))
	is.NoErr(err)
	is.True(!a.Advance(2, tag, a.Section(tag)+1)) // the service's part differs
	is.True(!a.Advance(1, tag, a.Section(tag)))   // not above
	is.True(a.Advance(3, tag, a.Section(tag)))
	is.Equal(a.Current.Number, uint64(3))
	is.Equal(a.TextNumber, uint64(1))
	is.True(a.Pack(0) == nil) // the text of revision 3 isn't held
	adopted, err := a.Offer(revision(3, "three"))
	is.NoErr(err)
	is.True(!adopted) // it was already in force; now its text is held as well
	is.Equal(a.TextNumber, uint64(3))
	is.True(a.Pack(0) != nil)
}

func TestSectionDependsOnlyOnItsService(t *testing.T) {
	is := is.New(t)
	document := func(ledger, receipts int, zones ...string) gooseberrymast.Document {
		return gooseberrymast.Document{Zones: zones, Services: map[string]gooseberrymast.Service{
			"ledger":   {Limits: gooseberrymast.Limits{Queue: ledger}},
			"receipts": {Limits: gooseberrymast.Limits{Queue: receipts}},
		}}
	}
	tag := gooseberrymast.TagOf("ledger")
	base := SectionOf(document(1, 1, "a"), tag)
	is.Equal(base, SectionOf(document(1, 2, "a"), tag))
	is.True(base != SectionOf(document(2, 1, "a"), tag))
	is.True(base != SectionOf(document(1, 1, "b"), tag))
	is.True(base != SectionOf(gooseberrymast.Document{Zones: []string{"a"}}, tag))
}
