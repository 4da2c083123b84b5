package standin

import "github.com/jackc/pgx/v5/pgproto3"

// handleQuery handles a Query message. Its statements form one implicit
// transaction unless they contain BEGIN or COMMIT.
func (c *conn) handleQuery(sql string) error {
	if err := c.runStatements(sql); err != nil {
		c.fail(err)
	}
	return c.endCycle()
}

// runStatements parses and executes sql and sends the results.
func (c *conn) runStatements(sql string) error {
	statements, err := parse(sql)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if st.maxParam > 0 {
			return sqlErrorf(codeSyntaxError, "there is no parameter $%d", st.maxParam)
		}
		res, err := c.execute(st, nil)
		if err != nil {
			return err
		}
		// The implicit transaction is committed before its last statement
		// is reported as complete, so that a failed commit is reported as
		// an error instead.
		if i == len(statements)-1 {
			if err := c.commitImplicit(); err != nil {
				return err
			}
		}
		if res.columns != nil {
			c.backend.Send(rowDescription(res.columns, nil))
		}
		if err := c.sendRows(res, nil); err != nil {
			return err
		}
	}
	return nil
}

// sendRows sends the rows and the command tag of a result.
func (c *conn) sendRows(res *result, formats []int16) error {
	for _, row := range res.rows {
		values := make([][]byte, len(row))
		for i, v := range row {
			values[i] = encode(v, res.columns[i].oid, formatOf(formats, i))
		}
		c.backend.Send(&pgproto3.DataRow{Values: values})
		if c.bufferedRows++; c.bufferedRows >= maxBufferedRows {
			if err := c.flush(); err != nil {
				return err
			}
		}
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.tag)})
	return nil
}
