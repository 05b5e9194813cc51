package bundle

import (
	"errors"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/wheatseam/wheatseam/internal/strictyaml"
)

// namePattern is the pattern of all names. It is strict because names appear in
// URLs, logs and metrics.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$`)

var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
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

// checkFields checks each value separately by the validate tag of its field.
func checkFields(b *Bundle, r *strictyaml.Report) {
	err := fieldValidator.Struct(b)
	var fieldErrors validator.ValidationErrors
	if !errors.As(err, &fieldErrors) {
		return
	}
	reported := strictyaml.Report{Problems: r.Problems}
	for _, fieldError := range fieldErrors {
		_, path, _ := strings.Cut(fieldError.Namespace(), ".")
		if reported.HasProblemAt(path) || reported.HasProblemWithin(path) {
			continue
		}
		r.AddProblem(path, "%s", validationMessage(fieldError))
	}
}

func validationMessage(fieldError validator.FieldError) string {
	switch fieldError.Tag() {
	case "required":
		return "is required"
	case "name":
		return "must be a name of a-z, 0-9, '.', '_' and '-', at most 63 characters long"
	case "hostname_port":
		return "must be an address in the form ip:port"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(fieldError.Param(), " ", ", ")
	case "len", "hexadecimal":
		return "must be a SHA-256 hash: 64 hexadecimal digits"
	case "gt":
		return "must be above " + fieldError.Param()
	case "gte":
		if fieldError.Kind() == reflect.Slice {
			return "must have " + fieldError.Param() + " or more items"
		}
		return "must be " + fieldError.Param() + " or more"
	case "lt":
		return "must be below " + fieldError.Param()
	case "lte":
		return "must be " + fieldError.Param() + " or less"
	default:
		return "violates the rule " + fieldError.Tag()
	}
}
