package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// callOptions are the flags of `wheatseam call`.
type callOptions struct {
	address        string
	apiKey         string
	text           string
	prefix         string
	idempotencyKey string
	newKey         bool
	stream         bool
	deadline       time.Duration
	idFile         string
}

func newCallCommand() *cobra.Command {
	var o callOptions
	c := &cobra.Command{
		Use:   "call PIPELINE",
		Short: "Send one request as a caller",
		Long: "Send one request to an entry host and print the response. Without a pipeline,\n" +
			"--new-key prints a new idempotency key.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				if !o.newKey {
					return errors.New("missing argument PIPELINE")
				}
				fmt.Fprintln(cmd.OutOrStdout(), uuid.Must(uuid.NewV7()))
				return nil
			}
			return o.send(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	f := c.Flags()
	f.StringVar(&o.address, "address", "127.0.0.1:7301", "ip:port of an entry host's callers' listener")
	f.StringVar(&o.apiKey, "api-key", "", "the customer's API key")
	f.StringVar(&o.text, "text", "", "input text")
	f.StringVar(&o.prefix, "prefix", "", "shared prefix of the prompt")
	f.StringVar(&o.idempotencyKey, "key", "", "idempotency key, a UUIDv7")
	f.BoolVar(&o.newKey, "new-key", false, "generate an idempotency key")
	f.BoolVar(&o.stream, "stream", false, "print the text while it is being generated")
	f.DurationVar(&o.deadline, "deadline", 0, "deadline; 0 uses the pipeline's")
	f.StringVar(&o.idFile, "id-file", "", "write the request ID to this file")
	return c
}

func (o *callOptions) send(ctx context.Context, out io.Writer, pipeline string) error {
	req, err := o.buildRequest(ctx, pipeline)
	if err != nil {
		return err
	}
	client := http.Client{Transport: httpbody.NewCheckedTransport(&http.Transport{Proxy: http.ProxyFromEnvironment})}
	defer client.CloseIdleConnections()
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", o.address, err)
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return o.printStream(out, resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read response: %w", err)
	}
	fmt.Fprint(out, string(raw))
	if resp.StatusCode != http.StatusOK {
		return errNegativeResult
	}
	return o.writeID(raw)
}

func (o *callOptions) buildRequest(ctx context.Context, pipeline string) (*http.Request, error) {
	body, err := json.Marshal(map[string]any{
		"input":       map[string]string{"text": o.text},
		"prefix":      o.prefix,
		"stream":      o.stream,
		"deadline_ms": o.deadline.Milliseconds(),
	})
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	target := "http://" + o.address + "/v1/pipelines/" + pipeline
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+o.apiKey)
	if o.newKey {
		o.idempotencyKey = uuid.Must(uuid.NewV7()).String()
	}
	if o.idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", o.idempotencyKey)
	}
	return req, nil
}

// printStream prints the text as it arrives and then the data of the final event. It
// returns an error if the stream ends without a final event.
func (o *callOptions) printStream(out io.Writer, r io.Reader) error {
	const maxEventBytes = 8 << 20
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxEventBytes)
	event := ""
	for scanner.Scan() {
		line := scanner.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		switch event {
		case "token":
			var part struct{ Text string }
			if err := json.Unmarshal([]byte(data), &part); err != nil {
				return fmt.Errorf("decode token: %w", err)
			}
			fmt.Fprint(out, part.Text)
		case "reset":
			fmt.Fprintln(out, "\n(stream reset: discard the text so far)")
		case "done":
			fmt.Fprintf(out, "\n%s\n", data)
			return o.writeID([]byte(data))
		case "error":
			fmt.Fprintf(out, "\n%s\n", data)
			return errNegativeResult
		}
	}
	return errors.New("the stream ended without a final event; the answer is incomplete")
}

func (o *callOptions) writeID(answer []byte) error {
	if o.idFile == "" {
		return nil
	}
	var a struct {
		RequestID string `json:"request_id"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return os.WriteFile(o.idFile, []byte(a.RequestID+"\n"), 0o644)
}
