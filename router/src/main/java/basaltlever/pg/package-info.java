/** Version 3 of PostgreSQL's wire protocol: framing, queries, responses and outgoing messages. */
package basaltlever.pg;
