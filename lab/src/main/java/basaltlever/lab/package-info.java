/** Commands of the laboratory: measurements that take longer than tests may. */
package basaltlever.lab;
