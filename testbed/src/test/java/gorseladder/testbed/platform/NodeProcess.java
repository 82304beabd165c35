package gorseladder.testbed.platform;

import gorseladder.node.NodeMain;

/** The dispatcher as a process of its own, without the command line around it. */
public final class NodeProcess {
  private NodeProcess() {}

  /** Runs until it is told to stop. */
  public static void main(String[] args) throws InterruptedException {
    System.exit(NodeMain.run());
  }
}
