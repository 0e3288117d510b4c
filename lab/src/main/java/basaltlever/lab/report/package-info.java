/** HTML reports of runs with charts. */
package basaltlever.lab.report;
