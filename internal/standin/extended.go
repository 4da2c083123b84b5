package standin

import (
	"encoding/binary"
	"strconv"

	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement, created by a Parse message.
type prepared struct {
	statement *statement // nil for an empty query
	oids      []uint32   // types of the parameters
}

// portal is a prepared statement with bound parameters.
type portal struct {
	*prepared
	params  []string
	formats []int16 // result formats
}

// handleExtended handles a message of the extended protocol other than Sync and
// Flush.
func (c *conn) handleExtended(msg pgproto3.FrontendMessage) error {
	switch msg := msg.(type) {
	case *pgproto3.Parse:
		return c.parseMessage(msg)
	case *pgproto3.Bind:
		return c.bind(msg)
	case *pgproto3.Describe:
		return c.describe(msg)
	case *pgproto3.Execute:
		return c.executePortal(msg)
	case *pgproto3.Close:
		if msg.ObjectType == 'S' {
			delete(c.statements, msg.Name)
		} else {
			delete(c.portals, msg.Name)
		}
		c.backend.Send(&pgproto3.CloseComplete{})
		return nil
	}
	return sqlErrorf(codeProtocolViolation, "message %T is not supported", msg)
}

// sync handles a Sync message: it commits the implicit transaction and ends the
// query cycle.
func (c *conn) sync() error {
	if !c.ignoreTillSync {
		if err := c.commitImplicit(); err != nil {
			c.fail(err)
		}
	}
	return c.endCycle()
}

func (c *conn) parseMessage(msg *pgproto3.Parse) error {
	statements, err := parse(msg.Query)
	if err != nil {
		return err
	}
	if len(statements) > 1 {
		return sqlErrorf(codeSyntaxError, "cannot insert multiple commands into a prepared statement")
	}
	p := &prepared{}
	if len(statements) == 1 {
		p.statement = statements[0]
		p.oids = make([]uint32, max(p.statement.maxParam, len(msg.ParameterOIDs)))
		copy(p.oids, msg.ParameterOIDs)
		for i, oid := range p.oids {
			if oid == 0 {
				p.oids[i] = oidText
			}
		}
	}
	c.statements[msg.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *conn) bind(msg *pgproto3.Bind) error {
	p, ok := c.statements[msg.PreparedStatement]
	if !ok {
		return sqlErrorf(codeUndefinedStatement, "prepared statement %q does not exist", msg.PreparedStatement)
	}
	if len(msg.Parameters) != len(p.oids) {
		return sqlErrorf(codeProtocolViolation, "bind message has %d parameters, the statement needs %d", len(msg.Parameters), len(p.oids))
	}
	params := make([]string, len(msg.Parameters))
	for i, value := range msg.Parameters {
		text, err := decodeParam(value, p.oids[i], formatOf(msg.ParameterFormatCodes, i))
		if err != nil {
			return err
		}
		params[i] = text
	}
	formats := append([]int16(nil), msg.ResultFormatCodes...)
	c.portals[msg.DestinationPortal] = &portal{prepared: p, params: params, formats: formats}
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

// decodeParam returns a parameter as text. Values of text types are encoded
// identically in both formats.
func decodeParam(value []byte, oid uint32, format int16) (string, error) {
	switch {
	case value == nil:
		return "", sqlErrorf(codeFeatureNotSupported, "NULL parameters are not supported")
	case format == 1 && oid == oidInt8 && len(value) == 8:
		return strconv.FormatInt(int64(binary.BigEndian.Uint64(value)), 10), nil
	case format == 1 && oid == oidInt4 && len(value) == 4:
		return strconv.Itoa(int(int32(binary.BigEndian.Uint32(value)))), nil
	}
	return string(value), nil
}

func (c *conn) describe(msg *pgproto3.Describe) error {
	var p *prepared
	var formats []int16
	if msg.ObjectType == 'S' {
		if p = c.statements[msg.Name]; p == nil {
			return sqlErrorf(codeUndefinedStatement, "prepared statement %q does not exist", msg.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.oids})
	} else {
		namedPortal := c.portals[msg.Name]
		if namedPortal == nil {
			return sqlErrorf(codeUndefinedPortal, "portal %q does not exist", msg.Name)
		}
		p, formats = namedPortal.prepared, namedPortal.formats
	}
	if p.statement == nil {
		c.backend.Send(&pgproto3.NoData{})
		return nil
	}
	columns, err := describeColumns(p.statement)
	switch {
	case err != nil:
		return err
	case columns == nil:
		c.backend.Send(&pgproto3.NoData{})
	default:
		c.backend.Send(rowDescription(columns, formats))
	}
	return nil
}

// executePortal runs a portal to completion; row limits are not supported.
func (c *conn) executePortal(msg *pgproto3.Execute) error {
	p := c.portals[msg.Portal]
	if p == nil {
		return sqlErrorf(codeUndefinedPortal, "portal %q does not exist", msg.Portal)
	}
	if p.statement == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	if msg.MaxRows > 0 {
		return sqlErrorf(codeFeatureNotSupported, "a row limit is not supported")
	}
	res, err := c.execute(p.statement, p.params)
	if err != nil {
		return err
	}
	return c.sendRows(res, p.formats)
}
