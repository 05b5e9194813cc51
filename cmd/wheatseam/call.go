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
)

// callOptions are the flags of `wheatseam call`.
type callOptions struct {
	address  string
	apiKey   string
	text     string
	prefix   string
	key      string
	newKey   bool
	stream   bool
	deadline time.Duration
	idFile   string
}

func newCallCommand() *cobra.Command {
	var o callOptions
	c := &cobra.Command{
		Use:   "call PIPELINE",
		Short: "Send one request as a caller would",
		Long: "Send one request to an entry host and print its answer. Without a pipeline,\n" +
			"--new-key prints a fresh idempotency key.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) == 0 {
				if !o.newKey {
					return errors.New("name a pipeline")
				}
				fmt.Fprintln(cmd.OutOrStdout(), uuid.Must(uuid.NewV7()))
				return nil
			}
			return o.call(cmd.Context(), cmd.OutOrStdout(), args[0])
		},
	}
	f := c.Flags()
	f.StringVar(&o.address, "address", "127.0.0.1:7301", "ip:port of an entry host's callers' listener")
	f.StringVar(&o.apiKey, "api-key", "", "the customer's API key")
	f.StringVar(&o.text, "text", "", "the input's text")
	f.StringVar(&o.prefix, "prefix", "", "the prompt's shared prefix")
	f.StringVar(&o.key, "key", "", "idempotency key, a UUIDv7")
	f.BoolVar(&o.newKey, "new-key", false, "use a fresh idempotency key")
	f.BoolVar(&o.stream, "stream", false, "print the text as it comes")
	f.DurationVar(&o.deadline, "deadline", 0, "deadline; 0 is the pipeline's")
	f.StringVar(&o.idFile, "id-file", "", "write the request's id to this file")
	return c
}

func (o *callOptions) call(ctx context.Context, out io.Writer, pipeline string) error {
	req, err := o.request(ctx, pipeline)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("call %s: %w", o.address, err)
	}
	defer resp.Body.Close()
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream") {
		return o.printStream(out, resp.Body)
	}
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read answer: %w", err)
	}
	fmt.Fprint(out, string(raw))
	if resp.StatusCode != http.StatusOK {
		return errFound
	}
	return o.writeID(raw)
}

func (o *callOptions) request(ctx context.Context, pipeline string) (*http.Request, error) {
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
		o.key = uuid.Must(uuid.NewV7()).String()
	}
	if o.key != "" {
		req.Header.Set("Idempotency-Key", o.key)
	}
	return req, nil
}

// printStream prints the text as it comes and the last event in full. A stream
// that ends without its last event is no answer.
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
			fmt.Fprintln(out, "\n(the text so far is void)")
		case "done":
			fmt.Fprintf(out, "\n%s\n", data)
			return o.writeID([]byte(data))
		case "error":
			fmt.Fprintf(out, "\n%s\n", data)
			return errFound
		}
	}
	return errors.New("the stream was cut: this is no answer")
}

func (o *callOptions) writeID(answer []byte) error {
	if o.idFile == "" {
		return nil
	}
	var a struct {
		RequestID string `json:"request_id"`
	}
	if err := json.Unmarshal(answer, &a); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return os.WriteFile(o.idFile, []byte(a.RequestID+"\n"), 0o644)
}
