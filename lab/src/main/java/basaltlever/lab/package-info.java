/** The laboratory's commands: experiments and measurements that take too long for a test. */
package basaltlever.lab;
