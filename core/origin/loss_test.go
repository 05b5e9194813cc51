package origin_test

import (
	"testing"
	"time"

	"github.com/wheatseam/wheatseam/core/origin"
)

// Guards against streams that are joined from two versions after all hosts were lost at once: the
// hosts that answer have just started, and remember no version that left before.
func TestOnlyVersionListedAfterALossOfAllHostsProvesNothing(t *testing.T) {
	just := origin.Answer{Versions: []string{"v2"}, History: 4 * time.Second}
	if v := origin.Decide(origin.Stream{Lifetime: lifetime}, []origin.Answer{just, just, just, just, just}, 0, nil); v.Known {
		t.Errorf("decided for %q by %q, %s", v.Version, v.Reason, v.Evidence)
	}
}
