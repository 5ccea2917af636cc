package engine

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/dunlinmill/dunlinmill/connection/upstream"
)

// An answer that is not truncated has at least minAnswerTokens tokens and fewer
// than minAnswerTokens+answerTokenRange.
const (
	minAnswerTokens  = 8
	answerTokenRange = 56
)

// Answer returns the tokens of the whole answer to a prompt. They depend on the
// prompt alone. A positive maxTokens truncates the answer to that many tokens.
func Answer(prompt []upstream.Part, maxTokens int) []string {
	d := xxhash.New()
	for _, p := range prompt {
		d.WriteString(p.Role)    //nolint:errcheck // never fails
		d.Write([]byte{0})       //nolint:errcheck // never fails
		d.WriteString(p.Content) //nolint:errcheck // never fails
		d.Write([]byte{0})       //nolint:errcheck // never fails
	}
	h := d.Sum64()
	n := minAnswerTokens + int(h%answerTokenRange)
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

// Finish reasons of the last token.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// remainingTokens returns the tokens that follow the text in g.Continue, and the
// finish reason of the last one. ok is false if that text does not consist of the
// answer's first tokens, or if it is the whole answer. g.MaxTokens counts only
// the tokens still to come.
func remainingTokens(g upstream.Generation) (tokens []string, finish string, ok bool) {
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
