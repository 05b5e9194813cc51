package platform

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin"
)

var _ = Describe("Platform", func() {
	var p *Platform
	var server *httptest.Server

	startPlatform := func(cfg Config) {
		p = New(cfg)
		server = httptest.NewServer(p)
		DeferCleanup(func() {
			p.Close()
			server.Close()
		})
	}
	// get returns the status of the response and the value and revision of its
	// item. For a watch, the item is that of its only event.
	get := func(path string) (int, string, string) {
		resp, err := http.Get(server.URL + path)
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		var response struct {
			item
			Events []item `json:"events"`
		}
		if resp.StatusCode == http.StatusOK {
			Expect(json.Unmarshal(body, &response)).To(Succeed())
		}
		if len(response.Events) > 0 {
			response.item = response.Events[0]
		}
		return resp.StatusCode, string(response.Data), strconv.FormatUint(response.Revision, 10)
	}
	hosts := func() HostList {
		_, body, _ := get("/-/kv-key?key=hosts")
		var list HostList
		Expect(json.Unmarshal([]byte(body), &list)).To(Succeed())
		return list
	}

	It("serves values and completes a watch when its value changes", func() {
		startPlatform(Config{})
		status, _, _ := get("/-/kv-key?key=bundle")
		Expect(status).To(Equal(http.StatusNotFound))
		p.SetValue("bundle", []byte("one"))
		_, body, revision := get("/-/kv-key?key=bundle")
		Expect(body).To(Equal("one"))

		watchBody := make(chan string, 1)
		go func() {
			defer GinkgoRecover()
			_, body, _ := get("/-/kv-watch?prefix=bundle&wait_ms=30000&after=" + revision)
			watchBody <- body
		}()
		Eventually(func() int { return p.Reads().Watches }).Should(Equal(1))
		req, err := http.NewRequest(http.MethodPut, server.URL+"/control/values/bundle", strings.NewReader("two"))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		Eventually(watchBody, 10*time.Second).Should(Receive(Equal("two")))
	})

	It("responds without events when a watch ends without a change", func() {
		startPlatform(Config{})
		p.SetValue("bundle", []byte("one"))
		_, _, revision := get("/-/kv-key?key=bundle")
		status, body, _ := get("/-/kv-watch?prefix=bundle&wait_ms=1&after=" + revision)
		Expect(status).To(Equal(http.StatusOK))
		Expect(body).To(BeEmpty())
	})

	It("keeps serving the old value and host list while stale", func() {
		startPlatform(Config{})
		p.SetValue("bundle", []byte("old"))
		p.SetHosts([]Host{{Name: "a"}})
		Expect(hosts().Hosts).To(HaveLen(1))
		p.Faults().Set(standin.Faults{Stale: true})
		p.SetValue("bundle", []byte("new"))
		p.SetHosts(nil)
		_, body, _ := get("/-/kv-key?key=bundle")
		Expect(body).To(Equal("old"))
		Expect(hosts().Hosts).To(HaveLen(1))
		p.Faults().Set(standin.Faults{})
		_, body, _ = get("/-/kv-key?key=bundle")
		Expect(body).To(Equal("new"))
		Expect(hosts().Hosts).To(BeEmpty())
	})

	It("publishes a host list after HostsLag", func() {
		startPlatform(Config{HostsLag: time.Hour})
		p.SetHosts([]Host{{Name: "a", State: "live"}})
		Expect(p.currentHosts(time.Now()).Hosts).To(BeEmpty())
		Expect(p.currentHosts(time.Now().Add(2 * time.Hour)).Hosts).To(HaveLen(1))
	})

	It("closes connections while down, including those of waiting watches", func() {
		startPlatform(Config{})
		p.SetValue("bundle", []byte("one"))
		failed := make(chan error, 1)
		go func() {
			_, err := http.Get(server.URL + "/-/kv-watch?prefix=bundle&wait_ms=30000&after=1000")
			failed <- err
		}()
		Eventually(func() int { return p.Reads().Watches }).Should(Equal(1))
		p.Faults().Set(standin.Faults{Down: true})
		Eventually(failed, 10*time.Second).Should(Receive(HaveOccurred()))
		_, err := http.Get(server.URL + "/-/kv-key?key=hosts")
		Expect(err).To(HaveOccurred())
	})

	It("limits the rate of reads and counts them", func() {
		startPlatform(Config{ReadsPerSecond: 0.001})
		p.SetValue("bundle", []byte("one"))
		status, _, _ := get("/-/kv-key?key=bundle")
		Expect(status).To(Equal(http.StatusOK))
		status, _, _ = get("/-/kv-key?key=bundle")
		Expect(status).To(Equal(http.StatusTooManyRequests))
		Expect(p.Reads()).To(Equal(Reads{Values: 1, Limited: 1}))
	})
})
