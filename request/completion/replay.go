package completion

import (
	"encoding/json"
	"net/http"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/journal"
)

// held is a whole answer in the form in which the journal holds it for a
// caller who asks again with the same key.
type held struct {
	Info   Info
	Text   string
	Finish string
}

// entry is the request as the journal knows it. Two requests with one key
// must ask for the same thing.
func (r Request) entry() journal.Entry {
	parts := [][]byte{[]byte(r.Model), []byte(r.Adapter)}
	for _, m := range r.Messages {
		parts = append(parts, []byte(m.Role), []byte(m.Content))
	}
	return journal.Entry{
		Workspace: r.Workspace,
		Key:       r.Key.Value,
		KeyTime:   r.Key.At,
		Request:   journal.HashRequest(parts...),
	}
}

// replay gives an earlier answer again.
func (s *start) replay(earlier journal.Answer) (*Answer, error) {
	var h held
	if err := json.Unmarshal(earlier.Body, &h); err != nil {
		return nil, failure.ErrAlreadyRan.WithCause(err)
	}
	return &Answer{s: s, info: h.Info, replayed: &h, release: func() {}}, nil
}

// hold gives the whole answer to the journal.
func (a *Answer) hold() (journal.Answer, error) {
	body, err := json.Marshal(held{Info: a.info, Text: a.given.text.String(), Finish: a.finish})
	return journal.Answer{Status: http.StatusOK, Body: body}, err
}

// nextReplayed gives an earlier answer as one token.
func (a *Answer) nextReplayed() Token {
	a.finished = true
	return Token{Text: a.replayed.Text, Finish: a.replayed.Finish}
}
