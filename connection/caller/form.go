package caller

import (
	"github.com/dunlinmill/dunlinmill/request/completion"
)

// responseFormat describes the response objects of one of the two OpenAI endpoints.
type responseFormat struct {
	prefix          string
	objectName      string
	chunkObjectName string
	choice          func(text, finish string, chunk bool, first bool) choice
}

var chatFormat = responseFormat{
	prefix:          "chatcmpl-",
	objectName:      "chat.completion",
	chunkObjectName: "chat.completion.chunk",
	choice: func(text, finish string, chunk, first bool) choice {
		m := &replyMessage{Content: text}
		if first || !chunk {
			m.Role = "assistant"
		}
		if chunk {
			return choice{Delta: m, FinishReason: finishReason(finish)}
		}
		return choice{Message: m, FinishReason: finishReason(finish)}
	},
}

var textFormat = responseFormat{
	prefix:          "cmpl-",
	objectName:      "text_completion",
	chunkObjectName: "text_completion",
	choice: func(text, finish string, _, _ bool) choice {
		return choice{Text: &text, FinishReason: finishReason(finish)}
	},
}

// finishReason returns nil, encoded as null, until the last token, as the OpenAI API
// does.
func finishReason(finish string) *string {
	if finish == "" {
		return nil
	}
	return &finish
}

type replyMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int           `json:"index"`
	Message      *replyMessage `json:"message,omitempty"`
	Delta        *replyMessage `json:"delta,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
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

func (f responseFormat) reply(w answerWriter, text, finish string, u *usage) completionReply {
	return completionReply{
		ID:      f.prefix + w.r.ID,
		Object:  f.objectName,
		Created: w.created,
		Model:   w.r.Model,
		Choices: []choice{f.choice(text, finish, false, true)},
		Usage:   u,
	}
}

func (f responseFormat) chunk(w answerWriter, t completion.Token) completionReply {
	r := completionReply{
		ID:      f.prefix + w.r.ID,
		Object:  f.chunkObjectName,
		Created: w.created,
		Model:   w.r.Model,
		Choices: []choice{f.choice(t.Text, t.Finish, true, t.Index == 0)},
	}
	if t.Finish != "" {
		r.Usage = usageOf(w.answer.Info(), t.Index+1)
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
