package httpbody_test

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/httpbody"
)

// serveRaw starts a server that answers the requests of a connection with the given bytes in turn, a few
// at a time if slow is set, and then closes it. It returns the address.
func serveRaw(t *testing.T, slow bool, answers ...string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				requests := bufio.NewReader(conn)
				for _, answer := range answers {
					if _, err := http.ReadRequest(requests); err != nil {
						return
					}
					writeRaw(conn, answer, slow)
				}
			}()
		}
	}()
	return l.Addr().String()
}

func writeRaw(w io.Writer, answer string, slow bool) {
	size := len(answer)
	if slow {
		size = 1
	}
	for ; answer != ""; answer = answer[min(size, len(answer)):] {
		if _, err := io.WriteString(w, answer[:min(size, len(answer))]); err != nil {
			return
		}
	}
}

// get makes a call and returns the status and the body.
func get(t http.RoundTripper, address string) (status int, body string, err error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return 0, "", err
	}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(raw), err
}

const okHead = "HTTP/1.1 200 OK\r\n"

// invalidAnswers are answers that net/http takes for valid.
var invalidAnswers = map[string]string{
	"status 000":                   "HTTP/1.1 000 x\r\n\r\nbody",
	"status 099":                   "HTTP/1.1 099 x\r\n\r\nbody",
	"status +20":                   "HTTP/1.1 +20 x\r\n\r\nbody",
	"status -00":                   "HTTP/1.1 -00 x\r\n\r\nbody",
	"status 600":                   "HTTP/1.1 600 x\r\n\r\nbody",
	"status 999":                   "HTTP/1.1 999\r\n\r\nbody",
	"status 000 after an interim":  "HTTP/1.1 103 x\r\nLink: x\r\n\r\nHTTP/1.1 000 x\r\n\r\nbody",
	"status 000 with line feeds":   "HTTP/1.1 000 x\n\nbody",
	"status 000 after many blanks": "HTTP/1.1 " + strings.Repeat(" ", 100) + "000 x\r\n\r\nbody",

	"coding of HTTP/1.0":                  "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding of HTTP/1.0 beside a length":  "HTTP/1.0 200 OK\r\nContent-Length: 4\r\ntransfer-ENCODING: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding of HTTP/1.0 after an interim": "HTTP/1.1 103 x\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding:chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"coding of HTTP/0.9":                  "HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"another coding of HTTP/1.0":          "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",

	"blank in a name":                          okHead + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank before the colon":                   okHead + "Content-Length : 2\r\n\r\nbody",
	"blank before the colon of a coding":       okHead + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"the same beside a length":                 okHead + "Transfer-Encoding : chunked\r\nContent-Length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"tab in a name":                            okHead + "X\tY: 1\r\nContent-Length: 4\r\n\r\nbody",
	"tab before the colon":                     okHead + "Content-Length\t: 2\r\n\r\nbody",
	"control byte in a name":                   okHead + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"DEL in a name":                            okHead + "X\x7fY: 1\r\nContent-Length: 4\r\n\r\nbody",
	"byte over 127 in a name":                  okHead + "X\xe9Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"separator in a name":                      okHead + "X(Y): 1\r\nContent-Length: 4\r\n\r\nbody",
	"empty name":                               okHead + ": 1\r\nContent-Length: 4\r\n\r\nbody",
	"no colon":                                 okHead + "XY\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name after a folded line":      okHead + "X: 1\r\n more\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name of an interim response":   "HTTP/1.1 103 x\r\nX Y: 1\r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nbody",
	"blank in a name after an interim":         "HTTP/1.1 103 x\r\n\r\n" + okHead + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
	"blank in a name, lines without CR":        "HTTP/1.1 200 OK\nX Y: 1\nContent-Length: 4\n\nbody",
	"blank in a name after thousands of bytes": okHead + "X: " + strings.Repeat("x", 5000) + "\r\n" + strings.Repeat("Y", 5000) + " : 1\r\nContent-Length: 4\r\n\r\nbody",
}

// Guards against invalid responses that net/http accepts.
func TestInvalidAnswersAreRefused(t *testing.T) {
	for name, answer := range invalidAnswers {
		for speed, slow := range map[string]bool{"at once": false, "byte by byte": true} {
			t.Run(name+", "+speed, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				_, body, err := get(httpbody.NewTransport(0), serveRaw(t, slow, answer))
				g.Expect(err).To(MatchError(httpbody.ErrMalformedHead), body)
				g.Expect(httpbody.IsNotSent(err)).To(BeFalse())
			})
		}
	}
}

// Guards against valid answers that are refused.
func TestValidAnswersAreAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		answer, body string
		status       int
	}{
		"length":                  {okHead + "Content-Length: 4\r\n\r\nbody", "body", 200},
		"no length":               {okHead + "\r\nbody", "body", 200},
		"no length, no field":     {"HTTP/1.1 200\r\n\r\nbody", "body", 200},
		"chunks":                  {okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", 200},
		"HTTP/1.0":                {"HTTP/1.0 200 OK\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"HTTP/1.0, no length":     {"HTTP/1.0 200 OK\r\n\r\nbody", "body", 200},
		"HTTP/1.0, similar names": {"HTTP/1.0 200 OK\r\nTransfer-Encodin: x\r\nTransfer-Encodings: x\r\nX-Transfer-Encoding: x\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"HTTP/1.1 after an interim response of HTTP/1.0": {"HTTP/1.0 103 x\r\n\r\n" + okHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", 200},
		"HTTP/9.9":                   {"HTTP/9.9 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", 200},
		"chunks beside a length":     {okHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n", "body", 200},
		"line feeds":                 {"HTTP/1.1 200 OK\nContent-Length: 4\n\nbody", "body", 200},
		"interim responses":          {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 102 \r\n\r\n" + okHead + "Content-Length: 4\r\n\r\nbody", "body", 200},
		"no content":                 {"HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"status 599":                 {"HTTP/1.1 599 x\r\nContent-Length: 4\r\n\r\nbody", "body", 599},
		"long reason":                {"HTTP/1.1 200 " + strings.Repeat("OK ", 1000) + "\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"several blanks":             {"HTTP/1.1   200   OK\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"folded line":                {okHead + "X-A: 1\r\n more: x\r\n\tmore\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"all characters of a name":   {okHead + "!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"no value":                   {okHead + "X-A:\r\nContent-Length: 4\r\n\r\nbody", "body", 200},
		"blanks around a value":      {okHead + "X-A:  a b \r\nContent-Length:   4  \r\n\r\nbody", "body", 200},
		"body that looks like heads": {okHead + "\r\nHTTP/1.1 000 x\r\nX Y: 1\r\n\r\n", "HTTP/1.1 000 x\r\nX Y: 1\r\n\r\n", 200},
	} {
		for speed, slow := range map[string]bool{"at once": false, "byte by byte": true} {
			t.Run(name+", "+speed, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				status, body, err := get(httpbody.NewTransport(0), serveRaw(t, slow, c.answer))
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(status).To(Equal(c.status))
				g.Expect(body).To(Equal(c.body))
			})
		}
	}
}

// Guards against heads that are not checked since they are not the first ones of their connection.
func TestLaterAnswersOfAConnectionAreChecked(t *testing.T) {
	const valid = okHead + "Content-Length: 4\r\n\r\nbody"
	for name, answer := range invalidAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			transport := httpbody.NewTransport(0)
			address := serveRaw(t, false, valid, valid, strings.TrimSuffix(answer, "body"))
			for range 2 {
				_, body, err := get(transport, address)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(body).To(Equal("body"))
			}
			// net/http repeats a call whose first byte could not be read on an idle connection.
			status, body, err := get(transport, address)
			if err != nil {
				g.Expect(err).To(MatchError(httpbody.ErrMalformedHead))
			} else {
				g.Expect(status).To(Equal(http.StatusOK))
				g.Expect(body).To(Equal("body"))
			}
		})
	}
}

// Guards against bytes that were sent before a request and are taken for its answer.
func TestAnswersThatPrecedeTheirRequestsAreRefused(t *testing.T) {
	g := NewWithT(t)
	const answer = okHead + "Content-Length: 4\r\n\r\nbody"
	for range 5 {
		transport := httpbody.NewTransport(0)
		address := serveRaw(t, false, answer+"HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")
		_, body, err := get(transport, address)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(body).To(Equal("body"))
		status, _, err := get(transport, address)
		g.Expect(err != nil || status == http.StatusOK).To(BeTrue(), "status %d", status)
	}
}

// Guards against a check of the bytes below TLS, which refuses every answer.
func TestAnswersOverTLS(t *testing.T) {
	g := NewWithT(t)
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "body") }))
	defer server.Close()
	transport := httpbody.NewCheckedTransport(&http.Transport{TLSClientConfig: server.Client().Transport.(*http.Transport).TLSClientConfig})
	client := http.Client{Transport: transport}
	for range 2 {
		resp, err := client.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(body)).To(Equal("body"))
		g.Expect(resp.Body.Close()).To(Succeed())
	}
	_, err := (&http.Client{Transport: httpbody.NewCheckedTransport(&http.Transport{TLSClientConfig: &tls.Config{RootCAs: x509.NewCertPool()}})}).Get(server.URL)
	g.Expect(err).To(MatchError(ContainSubstring("certificate")))
}
