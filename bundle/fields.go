package bundle

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// namePattern is the form of every name: names stand in URLs, logs and
// metrics.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

var fieldChecks = newFieldChecks()

func newFieldChecks() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(strictyaml.FieldKey)
	must(v.RegisterValidation("name", func(f validator.FieldLevel) bool {
		return namePattern.MatchString(f.Field().String())
	}))
	return v
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// checkFields checks each value by itself, by the validate tags.
func checkFields(b *Bundle, r *strictyaml.Report) {
	err := fieldChecks.Struct(b)
	var faults validator.ValidationErrors
	if !errors.As(err, &faults) {
		return
	}
	found := strictyaml.Report{Problems: r.Problems}
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		if found.HasProblemAt(path) || found.HasProblemWithin(path) {
			continue
		}
		r.AddProblem(path, "%s", faultMessage(fault))
	}
}

func faultMessage(fault validator.FieldError) string {
	switch fault.Tag() {
	case "required":
		return "is needed"
	case "name":
		return "want a name of a-z, 0-9, '.', '_' and '-', at most 63 long"
	case "hostname_port":
		return "want an address in the form ip:port"
	case "oneof":
		return "want one of " + strings.ReplaceAll(fault.Param(), " ", ", ")
	case "len", "hexadecimal":
		return "want a SHA-256 hash: 64 hexadecimal digits"
	case "gt":
		return "must be above " + fault.Param()
	case "gte":
		if fault.Kind() == reflect.Slice {
			return "needs " + fault.Param() + " or more items"
		}
		return "must be " + fault.Param() + " or more"
	case "lt":
		return "must be below " + fault.Param()
	case "lte":
		return "must be " + fault.Param() + " or less"
	default:
		return "breaks the rule " + fault.Tag()
	}
}
