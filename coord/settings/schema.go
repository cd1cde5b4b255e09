package settings

import (
	"bytes"
	_ "embed" // the schema
	"errors"
	"strings"
	"sync"

	"foxcross.dev/coord/result"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

//go:embed schema.json
var schemaText []byte

const schemaName = "settings.json"

var (
	schema  = sync.OnceValue(compileSchema)
	printer = message.NewPrinter(language.English)
)

func compileSchema() *jsonschema.Schema {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(schemaText))
	if err != nil {
		panic("settings: schema: " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(schemaName, parsed); err != nil {
		panic("settings: schema: " + err.Error())
	}
	return c.MustCompile(schemaName)
}

// checkSchema validates a settings tree. Its error names the first invalid field and the reason.
func checkSchema(data []byte) error {
	parsed, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return result.Errorf(result.SettingsInvalid, "settings tree is not JSON: %v", err)
	}
	err = schema().Validate(parsed)
	if err == nil {
		return nil
	}
	var invalid *jsonschema.ValidationError
	if !errors.As(err, &invalid) {
		return result.Errorf(result.SettingsInvalid, "settings tree: %v", err)
	}
	field, reason := DescribeError(invalid)
	return result.Errorf(result.SettingsInvalid, "settings tree: %s: %s", field, reason)
}

// DescribeError returns the field and the reason of the innermost first cause of a validation error.
func DescribeError(invalid *jsonschema.ValidationError) (field, reason string) {
	for len(invalid.Causes) > 0 {
		invalid = invalid.Causes[0]
	}
	return "/" + strings.Join(invalid.InstanceLocation, "/"), invalid.ErrorKind.LocalizedString(printer)
}
