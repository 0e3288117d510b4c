/** Reports of runs as JSON and as a page with charts. */
package basaltlever.lab.report;
