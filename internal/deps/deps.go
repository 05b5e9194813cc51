// Package deps pins the modules that the first commits declare before use.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/dgryski/go-rendezvous"
	_ "github.com/go-playground/validator/v10"
	_ "github.com/goccy/go-yaml"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/yamux"
	_ "github.com/jsternberg/zap-logfmt"
	_ "github.com/onsi/ginkgo/v2"
	_ "github.com/onsi/gomega"
	_ "github.com/spf13/cobra"
	_ "go.uber.org/zap"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "pgregory.net/rapid"
)
