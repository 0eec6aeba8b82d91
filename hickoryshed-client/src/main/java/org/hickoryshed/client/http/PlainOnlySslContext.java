package org.hickoryshed.client.http;

import java.security.KeyManagementException;
import java.security.SecureRandom;
import javax.net.ssl.KeyManager;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLContextSpi;
import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLParameters;
import javax.net.ssl.SSLServerSocketFactory;
import javax.net.ssl.SSLSessionContext;
import javax.net.ssl.SSLSocketFactory;
import javax.net.ssl.TrustManager;

/**
 * An SSL context that refuses every encrypted connection.
 *
 * <p>{@link JsonHttpClient} passes it to the HTTP client of the JDK, which would otherwise create
 * the default context. That one loads all trusted certificates, although only plain HTTP is used;
 * this took a third of the processor time from the start of a process until it listened.
 */
final class PlainOnlySslContext extends SSLContext {

  PlainOnlySslContext() {
    super(new Refusing(), null, "none");
  }

  /** Throws on each attempt to create an encrypted connection. */
  private static final class Refusing extends SSLContextSpi {

    @Override
    protected void engineInit(
        KeyManager[] keyManagers, TrustManager[] trustManagers, SecureRandom random)
        throws KeyManagementException {
      throw new KeyManagementException("encrypted connections are not supported");
    }

    @Override
    protected SSLSocketFactory engineGetSocketFactory() {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLServerSocketFactory engineGetServerSocketFactory() {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLEngine engineCreateSSLEngine() {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLEngine engineCreateSSLEngine(String host, int port) {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLSessionContext engineGetServerSessionContext() {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLSessionContext engineGetClientSessionContext() {
      throw new UnsupportedOperationException("encrypted connections are not supported");
    }

    @Override
    protected SSLParameters engineGetDefaultSSLParameters() {
      return new SSLParameters(new String[0], new String[0]);
    }

    @Override
    protected SSLParameters engineGetSupportedSSLParameters() {
      return engineGetDefaultSSLParameters();
    }
  }
}
