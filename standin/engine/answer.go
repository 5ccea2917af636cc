package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// Bounds of an answer's natural length, in tokens.
const (
	shortestAnswer = 8
	answerSpread   = 56
)

// Answer gives the tokens of the whole answer to a prompt. They follow from
// the prompt alone; with maxTokens over 0 the answer is cut there.
func Answer(prompt []upstream.Part, maxTokens int) []string {
	d := xxhash.New()
	for _, p := range prompt {
		d.WriteString(p.Role)    //nolint:errcheck // never fails
		d.Write([]byte{0})       //nolint:errcheck // never fails
		d.WriteString(p.Content) //nolint:errcheck // never fails
		d.Write([]byte{0})       //nolint:errcheck // never fails
	}
	h := d.Sum64()
	n := shortestAnswer + int(h%answerSpread)
	if maxTokens > 0 && maxTokens < n {
		n = maxTokens
	}
	tokens := make([]string, n)
	for i := range tokens {
		h = h*6364136223846793005 + 1442695040888963407
		tokens[i] = "w" + strconv.FormatUint(h>>44, 36) + " "
	}
	return tokens
}

// Finish values of the last token.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// remaining gives the tokens after the text that was sent already, and how
// the answer finishes. It is false if that text is not an opening of the
// answer, or all of it. MaxTokens counts the tokens still to come.
func remaining(g upstream.Generation) (tokens []string, finish string, ok bool) {
	tokens = Answer(g.Prompt, 0)
	text := g.Continue
	for text != "" {
		if len(tokens) == 0 || !strings.HasPrefix(text, tokens[0]) {
			return nil, "", false
		}
		text = text[len(tokens[0]):]
		tokens = tokens[1:]
	}
	if len(tokens) == 0 {
		return nil, "", false
	}
	if g.MaxTokens > 0 && g.MaxTokens < len(tokens) {
		return tokens[:g.MaxTokens], finishLength, true
	}
	return tokens, finishStop, true
}
