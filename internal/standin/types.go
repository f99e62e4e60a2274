package standin

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Format codes of values in the protocol.
const (
	formatText   = 0
	formatBinary = 1
)

func textValue(s string) value { return &s }

// decodeParam converts a parameter of a Bind message to text form.
func decodeParam(oid uint32, format int16, b []byte) (value, error) {
	if b == nil {
		return nil, nil
	}
	if format == formatText {
		return textValue(string(b)), nil
	}
	switch {
	case oid == oidInt8 && len(b) == 8:
		return textValue(strconv.FormatInt(int64(binary.BigEndian.Uint64(b)), 10)), nil
	case oid == oidInt4 && len(b) == 4:
		return textValue(strconv.FormatInt(int64(int32(binary.BigEndian.Uint32(b))), 10)), nil
	case oid == oidInt2 && len(b) == 2:
		return textValue(strconv.FormatInt(int64(int16(binary.BigEndian.Uint16(b))), 10)), nil
	case oid == oidFloat8 && len(b) == 8:
		f := math.Float64frombits(binary.BigEndian.Uint64(b))
		return textValue(strconv.FormatFloat(f, 'g', -1, 64)), nil
	case oid == oidBool && len(b) == 1:
		if b[0] != 0 {
			return textValue("t"), nil
		}
		return textValue("f"), nil
	case oid == oidText || oid == oidVarchar || oid == 0:
		return textValue(string(b)), nil
	}
	return nil, sqlError("22P03", "incorrect binary data format for type %d", oid)
}

// appendValue appends a value, which must not be NULL, in the given format.
func appendValue(dst []byte, oid uint32, format int16, s string) ([]byte, error) {
	if format == formatText {
		return append(dst, s...), nil
	}
	switch oid {
	case oidInt8, oidInt4, oidInt2:
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			return nil, sqlError(codeInvalidText, "invalid input syntax for an integer: %q", s)
		}
		return appendInt(dst, oid, n), nil
	case oidFloat8:
		f, err := strconv.ParseFloat(s, 64)
		if err != nil {
			return nil, sqlError(codeInvalidText, "invalid input syntax for a float: %q", s)
		}
		return binary.BigEndian.AppendUint64(dst, math.Float64bits(f)), nil
	case oidBool:
		if s == "t" {
			return append(dst, 1), nil
		}
		return append(dst, 0), nil
	}
	return append(dst, s...), nil
}

func appendInt(dst []byte, oid uint32, n int64) []byte {
	switch oid {
	case oidInt2:
		return binary.BigEndian.AppendUint16(dst, uint16(n))
	case oidInt4:
		return binary.BigEndian.AppendUint32(dst, uint32(n))
	}
	return binary.BigEndian.AppendUint64(dst, uint64(n))
}

// checkValue returns an error if v is not valid input for a type.
func checkValue(oid uint32, v value) error {
	if v == nil {
		return nil
	}
	var err error
	switch oid {
	case oidInt8:
		_, err = strconv.ParseInt(*v, 10, 64)
	case oidInt4:
		_, err = strconv.ParseInt(*v, 10, 32)
	case oidInt2:
		_, err = strconv.ParseInt(*v, 10, 16)
	case oidFloat8:
		_, err = strconv.ParseFloat(*v, 64)
	}
	if err != nil {
		return sqlError(codeInvalidText, "invalid input syntax for type %d: %q", oid, *v)
	}
	return nil
}

// formatCode returns the format of value i. As in a Bind message, codes holds no code, which means text,
// one code for all values, or one code for each.
func formatCode(codes []int16, i int) int16 {
	switch {
	case len(codes) == 0:
		return formatText
	case len(codes) == 1:
		return codes[0]
	case i < len(codes):
		return codes[i]
	}
	return formatText
}

// typeSize returns the size of a type's binary format, -1 if it varies.
func typeSize(oid uint32) int16 {
	switch oid {
	case oidInt8, oidFloat8:
		return 8
	case oidInt4:
		return 4
	case oidInt2:
		return 2
	case oidBool:
		return 1
	}
	return -1
}

func rowDescription(columns []column, formats []int16) *pgproto3.RowDescription {
	fields := make([]pgproto3.FieldDescription, len(columns))
	for i, c := range columns {
		fields[i] = pgproto3.FieldDescription{
			Name:         []byte(c.name),
			DataTypeOID:  c.oid,
			DataTypeSize: typeSize(c.oid),
			TypeModifier: -1,
			Format:       formatCode(formats, i),
		}
	}
	return &pgproto3.RowDescription{Fields: fields}
}
