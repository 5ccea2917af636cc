package completion

import (
	"encoding/json"
	"net/http"

	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/journal"
)

// journaledAnswer is a whole answer as the journal stores it, for a caller that
// sends the same key again.
type journaledAnswer struct {
	Info   Info
	Text   string
	Finish string
}

// journalEntry returns the request as the journal identifies it. Two requests with
// the same key must have the same content.
func (r Request) journalEntry() journal.KeyedRequest {
	parts := [][]byte{[]byte(r.Model), []byte(r.Adapter)}
	for _, m := range r.Messages {
		parts = append(parts, []byte(m.Role), []byte(m.Content))
	}
	return journal.KeyedRequest{
		Workspace: r.Workspace,
		Key:       r.Key.Value,
		KeyTime:   r.Key.CreatedAt,
		Request:   journal.HashRequest(parts...),
	}
}

// replay returns the journaled answer of an earlier request with the same key.
func (s *requestState) replay(earlier journal.Answer) (*Answer, error) {
	var journaled journaledAnswer
	if err := json.Unmarshal(earlier.Body, &journaled); err != nil {
		return nil, failure.ErrAlreadyRan.WithCause(err)
	}
	return &Answer{state: s, info: journaled.Info, replayed: &journaled, release: func() {}}, nil
}

// journalAnswer encodes the whole answer for the journal.
func (a *Answer) journalAnswer() (journal.Answer, error) {
	body, err := json.Marshal(journaledAnswer{Info: a.info, Text: a.delivered.text.String(), Finish: a.finishReason})
	return journal.Answer{Status: http.StatusOK, Body: body}, err
}

// nextReplayed returns the whole journaled answer as one token.
func (a *Answer) nextReplayed() Token {
	a.finished = true
	return Token{Text: a.replayed.Text, Finish: a.replayed.Finish}
}
