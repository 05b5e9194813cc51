package gateway_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/wheatseam/wheatseam/internal/standin/site"
)

// prompt declares a prompt of two shared segments and an unshared one.
func prompt(shared string, own int) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set("Prefix-Hash", fmt.Sprintf("%s1:300,%s2:200,%x:%d", shared, shared, nextID.Add(1), own))
		r.Header.Set("Token-Usage", fmt.Sprintf("%d,10", own))
	}
}

var _ = Describe("prompts that share a prefix", func() {
	// sendStream sends one prompt, and returns its run.
	sendStream := func(f *fixture, g *gatewayProcess, shared string, own int) site.Run {
		GinkgoHelper()
		a, id := g.send(http.MethodPost, streamPath, "", prompt(shared, own))
		Expect(a.status).To(Equal(http.StatusOK))
		runs := f.ledger.Runs(id)
		Expect(runs).To(HaveLen(1))
		return runs[0]
	}
	// measureReadTimes makes a gateway learn how fast engines read.
	measureReadTimes := func(f *fixture, g *gatewayProcess) {
		for i := range 12 {
			sendStream(f, g, fmt.Sprint("learn", i), 100+50*i)
		}
	}

	It("stay at one engine, from which another engine copies the prefix", func() {
		f := newFixture()
		g := f.start().ready()
		home := sendStream(f, g, "a", 10)
		Expect(home.CacheSource).To(BeEmpty())
		for range 5 {
			run := sendStream(f, g, "a", 10)
			Expect(run.Replica).To(Equal(home.Replica))
			Expect(run.CacheSource).To(BeEmpty(), "it holds the prefix")
		}
		f.replicas[home.Replica].SetBehaviour(site.Behaviour{Shed: true})
		run := sendStream(f, g, "a", 10)
		Expect(run.Replica).NotTo(Equal(home.Replica))
		Expect(run.CacheSource).To(Equal(f.replicas[home.Replica].Address()))
	})

	It("are not copied between engines of two software versions", func() {
		f := newFixture()
		for id, version := range map[string]string{"e1": "v1", "e2": "v2"} {
			f.replicas[id].Version = version
			f.register(f.replicas[id], "ready")
		}
		g := f.start().ready()
		home := sendStream(f, g, "a", 10)
		f.replicas[home.Replica].SetBehaviour(site.Behaviour{Shed: true})
		run := sendStream(f, g, "a", 10)
		Expect(run.Replica).NotTo(Equal(home.Replica))
		Expect(run.CacheSource).To(BeEmpty())
	})

	It("go elsewhere while the engine reads a long prompt of a peer, and peers know the engine to copy from", func() {
		f := newFixture()
		f.behave("llm", site.Behaviour{PrefillPerToken: 200 * time.Microsecond})
		first := f.start().ready()
		second := f.start(first.peers).ready()
		Eventually(func() []string { return second.metricLines("wheatseam_hosts ") }, "5s").Should(ConsistOf("wheatseam_hosts 2"))
		measureReadTimes(f, first)
		measureReadTimes(f, second)
		home := sendStream(f, first, "b", 10)
		announced := func() []string { return first.metricLines(`wheatseam_prompts_told_total{result="told"}`) }
		time.Sleep(100 * time.Millisecond) // earlier prompts are announced
		before := announced()
		long := make(chan site.Run)
		go func() {
			defer GinkgoRecover()
			long <- sendStream(f, first, "b", 5000)
		}()
		Eventually(announced, "2s").ShouldNot(Equal(before))
		run := sendStream(f, second, "b", 10)
		Expect(run.Replica).NotTo(Equal(home.Replica), "that engine is reading for a second")
		Expect(run.CacheSource).To(Equal(f.replicas[home.Replica].Address()))
		Expect((<-long).Replica).To(Equal(home.Replica))
	})

	It("are never copied from an address that a caller names", func() {
		f := newFixture()
		g := f.start().ready()
		a, id := g.send(http.MethodPost, streamPath, "", func(r *http.Request) {
			prompt("c", 10)(r)
			r.Header.Set("Kv-Fetch", "127.0.0.1:1")
		})
		Expect(a.status).To(Equal(http.StatusOK))
		Expect(f.ledger.Runs(id)[0].CacheSource).To(BeEmpty())
	})
})
