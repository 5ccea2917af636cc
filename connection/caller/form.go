package caller

import (
	"github.com/dunlinmill/dunlinmill/request/completion"
)

// form is the shape of one of the two OpenAI interfaces.
type form struct {
	prefix      string
	wholeObject string
	chunkObject string
	choice      func(text, finish string, chunk bool, first bool) choice
}

var chatForm = form{
	prefix:      "chatcmpl-",
	wholeObject: "chat.completion",
	chunkObject: "chat.completion.chunk",
	choice: func(text, finish string, chunk, first bool) choice {
		m := &message{Content: text}
		if first || !chunk {
			m.Role = "assistant"
		}
		if chunk {
			return choice{Delta: m, FinishReason: reason(finish)}
		}
		return choice{Message: m, FinishReason: reason(finish)}
	},
}

var textForm = form{
	prefix:      "cmpl-",
	wholeObject: "text_completion",
	chunkObject: "text_completion",
	choice: func(text, finish string, _, _ bool) choice {
		return choice{Text: &text, FinishReason: reason(finish)}
	},
}

// reason is null until the end, as in the OpenAI interface.
func reason(finish string) *string {
	if finish == "" {
		return nil
	}
	return &finish
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func usageOf(i completion.Info, n int) *usage {
	return &usage{
		PromptTokens:     i.PromptTokens,
		CompletionTokens: n,
		TotalTokens:      i.PromptTokens + n,
		Details:          promptDetails{CachedTokens: i.CachedTokens},
	}
}

type completionReply struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

func (f form) whole(w writer, text, finish string, u *usage) completionReply {
	return completionReply{
		ID:      f.prefix + w.r.ID,
		Object:  f.wholeObject,
		Created: w.created,
		Model:   w.r.Model,
		Choices: []choice{f.choice(text, finish, false, true)},
		Usage:   u,
	}
}

func (f form) chunk(w writer, t completion.Token) completionReply {
	r := completionReply{
		ID:      f.prefix + w.r.ID,
		Object:  f.chunkObject,
		Created: w.created,
		Model:   w.r.Model,
		Choices: []choice{f.choice(t.Text, t.Finish, true, t.Index == 0)},
	}
	if t.Finish != "" {
		r.Usage = usageOf(w.a.Info(), t.Index+1)
	}
	return r
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}
