package caller

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"

	"github.com/dunlinmill/dunlinmill/process/event"
	"github.com/dunlinmill/dunlinmill/request/completion"
	"github.com/dunlinmill/dunlinmill/request/failure"
	"github.com/dunlinmill/dunlinmill/request/prefix"
)

// completionBody holds the fields of an OpenAI request that the router reads.
type completionBody struct {
	Model               string          `json:"model"`
	Messages            []messageBody   `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	N                   int             `json:"n"`
}

type messageBody struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Limits of a completion request.
const (
	maxMessages     = 4096
	maxAnswerTokens = 128 << 10
)

func (l *Listener) chat(c *fiber.Ctx) error {
	return l.serveCompletion(c, chatFormat, func(b completionBody) ([]prefix.Message, error) {
		if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
			return nil, failure.ErrMalformedRequest.WithMessage("messages: from 1 to %d are needed", maxMessages)
		}
		messages := make([]prefix.Message, len(b.Messages))
		for i, m := range b.Messages {
			text, err := parseContent(m.Content)
			if err != nil {
				return nil, failure.ErrMalformedRequest.WithMessage("messages[%d].content: %v", i, err)
			}
			messages[i] = prefix.Message{Role: m.Role, Content: text}
		}
		return messages, nil
	})
}

func (l *Listener) complete(c *fiber.Ctx) error {
	return l.serveCompletion(c, textFormat, func(b completionBody) ([]prefix.Message, error) {
		text, err := parseContent(b.Prompt)
		if err != nil {
			return nil, failure.ErrMalformedRequest.WithMessage("prompt: %v", err)
		}
		return []prefix.Message{{Content: text}}, nil
	})
}

var errInvalidContent = errors.New("has to be a text or a list of text parts")

// parseContent decodes either a string or a list of text parts, whose texts it
// concatenates.
func parseContent(raw json.RawMessage) (string, error) {
	var text string
	if json.Unmarshal(raw, &text) == nil && len(raw) > 0 {
		return text, nil
	}
	var parts []contentPart
	if len(raw) == 0 || json.Unmarshal(raw, &parts) != nil {
		return "", errInvalidContent
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", errInvalidContent
		}
		b.WriteString(p.Text)
	}
	return b.String(), nil
}

// copiesOfPrompt is how many times a prompt is held: as it was received, decoded, and encoded for the engine.
const copiesOfPrompt = 3

// serveCompletion decodes a request, starts it and writes its answer.
func (l *Listener) serveCompletion(c *fiber.Ctx, f responseFormat, messages func(completionBody) ([]prefix.Message, error)) error {
	now := time.Now()
	t, err := l.readOptions(c, now)
	if err != nil {
		return err
	}
	body, release, err := l.receive(c, now, t.workspace, copiesOfPrompt)
	if err != nil {
		return err
	}
	r, stream, err := l.completionRequest(body, t, messages)
	if err != nil {
		release()
		return err
	}
	if err := l.beginRequest(now, r.ID, r.Workspace); err != nil {
		release()
		return err
	}
	ctx, unbind := l.requestContext(c, r)
	stop := func() {
		unbind()
		release()
	}
	a, err := l.completions.Start(ctx, r)
	if err != nil {
		stop()
		l.recordRefusal(r.ID, r.Workspace, err)
		return err
	}
	info := a.Info()
	c.Set(HeaderUpstream, info.Upstream)
	c.Set(HeaderCachedTokens, strconv.Itoa(info.CachedTokens))
	w := answerWriter{l: l, format: f, r: r, answer: a, created: now.Unix(), stop: stop}
	if stream {
		return w.writeStream(c)
	}
	return w.writeWhole(c)
}

// recordEnd counts the end of a request. A nil err means that the request was answered.
func (l *Listener) recordEnd(workspace string, err error) {
	l.inFlight.Add(-1)
	l.counter.RequestEnded()
	if err != nil {
		l.counter.RecordFailure(workspace, failure.FromError(err))
		return
	}
	l.counter.RecordAnswer(workspace)
}

// requestContext returns a context that ends when the caller disconnects or the process
// stops. A request with an idempotency key continues after its caller has disconnected,
// because the caller may fetch the answer later with the key.
func (l *Listener) requestContext(c *fiber.Ctx, r completion.Request) (context.Context, func()) {
	if r.Key.IsSet() {
		return l.stop.BoundContext(context.Background())
	}
	watched, unwatch := l.watcher.watch(c.Context().Conn())
	ctx, release := l.stop.BoundContext(watched)
	return ctx, func() {
		release()
		unwatch()
	}
}

func (l *Listener) completionRequest(body []byte, t requestOptions, messages func(completionBody) ([]prefix.Message, error)) (completion.Request, bool, error) {
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return completion.Request{}, false, failure.ErrMalformedRequest.WithMessage("the body is not the JSON expected: %v", err)
	}
	if b.N > 1 {
		return completion.Request{}, false, failure.ErrMalformedRequest.WithMessage("n: only 1 is served")
	}
	if b.Model == "" {
		return completion.Request{}, false, failure.ErrMalformedRequest.WithMessage("model: is missing")
	}
	m, err := messages(b)
	if err != nil {
		return completion.Request{}, false, err
	}
	limit, err := l.maxTokens(b)
	if err != nil {
		return completion.Request{}, false, err
	}
	model, adapter, _ := strings.Cut(b.Model, ":")
	return completion.Request{
		ID:        t.id,
		Workspace: t.workspace,
		Model:     model,
		Adapter:   adapter,
		Messages:  m,
		MaxTokens: limit,
		Priority:  t.priority,
		Class:     t.priority,
		Deadline:  t.deadline,
		Key:       t.key,
	}, b.Stream, nil
}

func (l *Listener) maxTokens(b completionBody) (int, error) {
	n := max(b.MaxTokens, b.MaxCompletionTokens)
	if min(b.MaxTokens, b.MaxCompletionTokens) < 0 || n > maxAnswerTokens {
		return 0, failure.ErrMalformedRequest.WithMessage("max_tokens: has to be from 1 to %d", maxAnswerTokens)
	}
	if n == 0 {
		n = l.cfg.DefaultMaxTokens
	}
	return n, nil
}

// answerWriter writes the answer to one request.
type answerWriter struct {
	l       *Listener
	format  responseFormat
	r       completion.Request
	answer  *completion.Answer
	created int64
	stop    func() // cancels the context and stops watching the connection
}

// release closes the answer and stops watching the connection.
func (w answerWriter) release() {
	w.answer.Close()
	w.stop()
}

// writeWhole writes the complete answer as one JSON body.
func (w answerWriter) writeWhole(c *fiber.Ctx) error {
	defer w.release()
	text, finish, n, err := w.collect()
	w.l.recordEnd(w.r.Workspace, err)
	if err != nil {
		return err
	}
	return c.JSON(w.format.reply(w, text, finish, usageOf(w.answer.Info(), n)))
}

// collect reads the answer to its end and returns its text, its finish reason and its
// number of tokens.
func (w answerWriter) collect() (text, finish string, tokens int, err error) {
	var b strings.Builder
	for {
		t, err := w.answer.Next()
		if errors.Is(err, io.EOF) {
			return b.String(), finish, tokens, nil
		}
		if err != nil {
			return "", "", tokens, err
		}
		b.WriteString(t.Text)
		finish = t.Finish
		tokens++
	}
}

// writeStream writes the answer as server-sent events while it arrives. The body writer
// runs after the handler has returned and c is invalid, so it uses only the connection,
// which it takes from c beforehand.
func (w answerWriter) writeStream(c *fiber.Ctx) error {
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	conn := c.Context().Conn()
	c.Context().SetBodyStreamWriter(func(b *bufio.Writer) {
		defer w.release()
		err := w.copyTokens(b, conn)
		w.l.recordEnd(w.r.Workspace, err)
		if err != nil {
			event.Info(w.l.log, event.RequestFailed, zap.String("Request", w.r.ID),
				zap.String("Workspace", w.r.Workspace), zap.Error(err))
		}
	})
	return nil
}

// copyTokens writes each token as an event. An answer that fails midway ends with an
// error event and without [DONE], so that no caller takes it for complete. A caller
// that takes longer than the stall timeout to read a write is disconnected, because it
// would otherwise hold its engine stream for as long as it likes.
func (w answerWriter) copyTokens(b *bufio.Writer, conn net.Conn) error {
	defer func() { _ = conn.SetWriteDeadline(time.Time{}) }()
	for {
		t, err := w.answer.Next()
		if errors.Is(err, io.EOF) {
			return writeData(b, []byte("[DONE]"))
		}
		if err != nil {
			_ = writeEvent(b, "error", bodyOf(failure.FromError(err)))
			return err
		}
		if err := conn.SetWriteDeadline(time.Now().Add(w.l.cfg.StallTimeout)); err != nil {
			return err
		}
		if err := writeEvent(b, "", w.format.chunk(w, t)); err != nil {
			return failure.ErrCancelled.WithCause(err)
		}
	}
}

func (l *Listener) models(c *fiber.Ctx) error {
	if _, err := l.workspace(c); err != nil {
		return err
	}
	list := modelList{Object: "list"}
	for _, m := range l.directory.Models() {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: "dunlinmill"})
	}
	return c.JSON(list)
}
