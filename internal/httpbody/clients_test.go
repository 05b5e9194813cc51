package httpbody_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/engine"
	"github.com/wheatseam/wheatseam/internal/httpbody"
	"github.com/wheatseam/wheatseam/platform"
	"github.com/wheatseam/wheatseam/replica"
	"github.com/wheatseam/wheatseam/service"
	"github.com/wheatseam/wheatseam/upstreamload"
)

// Guards against a client that takes a malformed answer with a valid body: each has to use the checked
// transport.
func TestAllClientsRefuseMalformedAnswers(t *testing.T) {
	ctx, later := context.Background(), time.Now().Add(time.Minute)
	for name, c := range map[string]struct {
		body string
		call func(address string) error
	}{
		"service": {`{"request_id":"r","attempt":1,"result":1}`, func(address string) error {
			_, err := service.NewClient(1, time.Now).Do(ctx, service.Call{Address: address, Path: "/", RequestID: "r", Attempt: 1, Input: json.RawMessage("1"), NotAfter: later})
			return err
		}},
		"engine": {`data: {"request_id":"r","attempt":1,"choices":[{"delta":{"content":"a"}}]}` + "\n\ndata: [DONE]\n\n", func(address string) error {
			_, err := engine.NewClient(1, time.Now).Generate(ctx, engine.GenerateRequest{Address: address, RequestID: "r", Attempt: 1, NotAfter: later}, func(string) {})
			return err
		}},
		"load": {`{"as_of_unix_ms":1}`, func(address string) error {
			_, err := upstreamload.NewClient().Get(ctx, "u", address)
			return err
		}},
		"store": {`{"key":"k","data":"","revision":1,"as_of":1}`, func(address string) error {
			_, _, err := platform.NewStore(address).Get(ctx, "k")
			return err
		}},
		"replica": {`{"queued":0,"active":0,"runs":[]}`, func(address string) error {
			_, err := replica.NewClient(nil, nil).EngineReport(ctx, "r", address)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answer := func(field string) string {
				return serveRaw(t, false, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: 1\r\nContent-Length: %d\r\n\r\n%s", field, len(c.body), c.body))
			}
			g.Expect(c.call(answer("X-Y"))).To(Succeed())
			g.Expect(c.call(answer("X Y"))).To(MatchError(httpbody.ErrMalformedHead))
		})
	}
}
