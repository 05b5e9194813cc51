package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wheatseam/wheatseam/internal/standin"
	"github.com/wheatseam/wheatseam/internal/standin/ledger"
)

const (
	defaultMaxTokens = 256
	stageGenerate    = "generate"
	finishStop       = "stop"
	finishLength     = "length"
)

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChatRequest is the body of POST /v1/chat/completions.
type ChatRequest struct {
	Model     string    `json:"model"`
	Messages  []Message `json:"messages"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Priority  int       `json:"priority"`
	// User is the name of the customer.
	User string `json:"user"`
}

// Choice is the only choice of a response. Streamed chunks have a Delta instead of
// a Message.
type Choice struct {
	Message      *Message `json:"message,omitempty"`
	Delta        *Message `json:"delta,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// Usage is the number of tokens of a request and its response.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// ChatResponse is a complete response, or one chunk of a streamed response.
type ChatResponse struct {
	ID        string   `json:"id"`
	Choices   []Choice `json:"choices"`
	Usage     *Usage   `json:"usage,omitempty"`
	RequestID string   `json:"request_id"`
	Attempt   int      `json:"attempt"`
}

// call is a chat request in progress.
type call struct {
	engine      *Engine
	requestID   string
	attempt     int
	chatRequest ChatRequest
	seq         *sequence
	text        generatedText
	entry       ledger.ID
}

// serves reports whether the engine serves requests for a model or adapter.
func (e *Engine) serves(model string) bool {
	return e.cfg.Model == "" || model == "" || model == e.cfg.Model || slices.Contains(e.cfg.Adapters, model)
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	if !e.faults.ApplyRequestFaults(w, r) {
		return
	}
	var chat ChatRequest
	if err := standin.ReadJSON(w, r, &chat); err != nil {
		standin.Refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !e.serves(chat.Model) {
		standin.Refuse(w, http.StatusServiceUnavailable, "model is not loaded")
		return
	}
	c := e.newCall(r, chat)
	if c.seq.blocksNeeded() > e.cfg.KVBlocks {
		standin.Refuse(w, http.StatusBadRequest, "prompt is too long")
		return
	}
	if !e.submit(c.seq) {
		standin.Refuse(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	c.begin(r)
	if chat.Stream {
		c.respondStream(w, r)
		return
	}
	c.respond(w, r)
}

func (e *Engine) newCall(r *http.Request, chat ChatRequest) *call {
	if chat.MaxTokens <= 0 {
		chat.MaxTokens = defaultMaxTokens
	}
	var prompt strings.Builder
	for _, m := range chat.Messages {
		prompt.WriteString(m.Content)
		prompt.WriteByte('\n')
	}
	text := prompt.String()
	requestID := r.Header.Get("X-Request-Id")
	attempt, err := strconv.Atoi(r.Header.Get("X-Attempt"))
	if err != nil {
		attempt = 1
	}
	return &call{
		engine:      e,
		requestID:   requestID,
		attempt:     attempt,
		chatRequest: chat,
		seq:         newSequence(text, outputTokens(e.cfg, text, chat.MaxTokens), chat.Priority),
		text:        newGeneratedText(requestID, chat.Model, text),
	}
}

func (c *call) begin(r *http.Request) {
	c.entry = c.engine.ledger.Begin(ledger.Entry{
		Key:       r.Header.Get("Idempotency-Key"),
		RequestID: c.requestID,
		Attempt:   c.attempt,
		Stage:     stageGenerate,
		Customer:  c.chatRequest.User,
		Upstream:  c.engine.cfg.Name,
		Leaving:   c.engine.faults.Get().Leaving,
	})
}

// end removes the sequence of the call from the batch and records the final state
// in the ledger.
func (c *call) end(s ledger.State) {
	engineTime, tokens := c.engine.remove(c.seq)
	c.engine.ledger.End(c.entry, s, float64(engineTime)/float64(time.Millisecond), tokens)
}

// awaitProgress waits until the sequence makes progress. It returns the number of
// tokens generated so far and whether the sequence is finished. If the sequence is
// cancelled or fails first, it ends the call and aborts the connection.
func (c *call) awaitProgress(r *http.Request) (generated int, finished bool) {
	clientDone := r.Context().Done()
	if c.engine.cfg.NoCancellation {
		clientDone = nil
	}
	select {
	case <-c.seq.progress:
		return c.engine.progress(c.seq)
	case <-clientDone:
		c.end(ledger.Cancelled)
	case <-c.engine.faults.Down():
		c.end(ledger.Failed)
	case <-c.engine.ctx.Done():
		c.end(ledger.Cancelled)
	}
	standin.AbortConnection()
	return 0, false
}

// respond sends a complete response when all tokens are generated.
func (c *call) respond(w http.ResponseWriter, r *http.Request) {
	for finished := false; !finished; {
		_, finished = c.awaitProgress(r)
	}
	if c.engine.faults.DrawFailure() {
		c.end(ledger.Failed)
		standin.WriteJSON(w, http.StatusInternalServerError, standin.ErrorBody{Error: "failed by an injected fault"})
		return
	}
	c.end(ledger.Done)
	c.engine.responder.Respond(w, r, ChatResponse{
		ID: c.id(),
		Choices: []Choice{{
			Message:      &Message{Role: "assistant", Content: c.text.firstTokens(c.seq.outputTokens)},
			FinishReason: c.finishReason(),
		}},
		Usage:     &Usage{PromptTokens: c.seq.promptTokens, CompletionTokens: c.seq.outputTokens},
		RequestID: c.requestID,
		Attempt:   c.attempt,
	})
}

// respondStream sends tokens as they are generated. A stream is complete only if it
// ends with [DONE].
func (c *call) respondStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flusher := http.NewResponseController(w)
	sent := 0
	for finished := false; !finished; {
		var generated int
		generated, finished = c.awaitProgress(r)
		for ; sent < generated; sent++ {
			c.writeEvent(w, Choice{Delta: &Message{Content: c.text.token(sent)}})
		}
		_ = flusher.Flush()
	}
	if c.engine.faults.DrawFailure() {
		c.end(ledger.Failed)
		standin.AbortConnection()
	}
	c.end(ledger.Done)
	c.engine.faults.ApplyResponseFaults(r.Context())
	c.writeEvent(w, Choice{Delta: &Message{}, FinishReason: c.finishReason()})
	_, _ = w.Write([]byte("data: [DONE]\n\n"))
}

func (c *call) writeEvent(w http.ResponseWriter, choice Choice) {
	body, err := json.Marshal(ChatResponse{
		ID:        c.id(),
		Choices:   []Choice{choice},
		RequestID: c.requestID,
		Attempt:   c.attempt,
	})
	if err != nil {
		standin.AbortConnection()
	}
	_, _ = w.Write([]byte("data: "))
	_, _ = w.Write(body)
	_, _ = w.Write([]byte("\n\n"))
}

func (c *call) id() string { return "chat-" + c.requestID + "-" + strconv.Itoa(c.attempt) }

func (c *call) finishReason() string {
	if c.seq.outputTokens >= c.chatRequest.MaxTokens {
		return finishLength
	}
	return finishStop
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	if e.faults.IsDown() {
		standin.AbortConnection()
	}
	e.faults.WaitWhileFrozen(r.Context())
	standin.WriteJSON(w, http.StatusOK, e.loadReporter.Report(time.Now()))
}
